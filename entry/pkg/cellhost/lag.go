package cellhost

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/common"
)

const (
	// lagInterval is how often the scheduling lag is measured; a measurement costs one wake-up.
	lagInterval = 20 * time.Millisecond
	// lagTarget is the lag at which the shed fraction settles. A job waits for the processors of its home and its
	// keeper about four times, and the objective of the shortest jobs leaves 60 ms for that.
	lagTarget = 10 * time.Millisecond
	// maxLag bounds a measurement, so that a pause of the process, after which its timers are on time again, has only a
	// short effect.
	maxLag = 50 * time.Millisecond
	// shedIntegralGain and shedProportionalGain are the steps of the shed fraction for a lag that is off by lagTarget,
	// and for one that has risen by it since the last measurement: the proportional-integral controller of RFC 8033.
	shedIntegralGain     = 0.02
	shedProportionalGain = 0.2
	// burstAllowance is how long a process may lag before it sheds jobs, as it does after its start or during garbage
	// collection; RFC 8033 allows as much.
	burstAllowance = 150 * time.Millisecond
	// shedLogThreshold is the shed fraction above which a warning is logged.
	shedLogThreshold = 0.05
)

var lagTimes = metrics.NewHistogram(`chervilusher_lag_seconds`)

// Shedder returns the fraction of jobs that this process has to shed to finish the others in time.
type Shedder interface {
	// Shed returns the fraction, from 0 to 1.
	Shed() float64
}

// LagController measures the scheduling lag of this process and sheds jobs accordingly. Under overload everything waits
// for the processor: timers, and heartbeats and answers that arrived long ago.
type LagController struct {
	common         *common.Common
	lag            time.Duration // last measurement
	fraction       float64       // fraction to shed, apart from bursts
	burstLeft      time.Duration // rest of burstAllowance
	shedBits       atomic.Uint64 // bits of the fraction that is shed
	overloadLogged bool
}

// NewLagController returns a controller without measurements.
func NewLagController(c *common.Common) *LagController {
	return &LagController{common: c.Prefixed("lag"), burstLeft: burstAllowance}
}

// Shed returns the fraction of jobs to shed.
func (l *LagController) Shed() float64 {
	return math.Float64frombits(l.shedBits.Load())
}

// Serve measures until the context ends.
func (l *LagController) Serve(ctx context.Context) {
	for {
		due := l.common.Clock.Now().Add(lagInterval)
		select {
		case <-ctx.Done():
			return
		case <-l.common.Clock.After(lagInterval):
			// A goroutine woken by a timer runs before other runnable ones; after a yield it waits as long as they do.
			runtime.Gosched()
			l.recordLag(l.common.Clock.Since(due))
		}
	}
}

// recordLag updates the shed fraction by the measured lag of a timer.
func (l *LagController) recordLag(lag time.Duration) {
	lag = min(max(0, lag), maxLag)
	lagTimes.Update(lag.Seconds())
	deviation := float64(lag-lagTarget) / float64(lagTarget)
	rise := float64(lag-l.lag) / float64(lagTarget)
	isCalm := l.fraction == 0 && lag < lagTarget/2 && l.lag < lagTarget/2
	l.lag = lag
	l.fraction = min(max(0, l.fraction+shedIntegralGain*deviation+shedProportionalGain*rise), 1)
	if isCalm {
		l.burstLeft = burstAllowance
	} else {
		l.burstLeft = max(0, l.burstLeft-lagInterval)
	}
	shed := 0.0
	if l.burstLeft == 0 {
		shed = l.fraction
	}
	l.shedBits.Store(math.Float64bits(shed))
	l.logOverload(shed)
}

func (l *LagController) logOverload(shed float64) {
	switch {
	case !l.overloadLogged && shed > shedLogThreshold:
		l.overloadLogged = true
		l.common.Log.WithField("lag", l.lag.String()).WithField("shed", shed).Warn("scheduling lag is high; shedding jobs")
	case l.overloadLogged && shed == 0:
		l.overloadLogged = false
		l.common.Log.Info("scheduling lag is normal again; shedding stopped")
	}
}

// shouldShed reports whether to shed the next job, at random with the given probability.
func shouldShed(fraction float64) bool {
	return rand.Float64() < fraction
}
