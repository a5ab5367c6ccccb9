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
	// lagInterval is how often the lag is measured; a measurement is one wake-up.
	lagInterval = 20 * time.Millisecond
	// lagTarget is the lag at which the part of jobs that are turned away settles. A job waits for the processors of its
	// home and its keeper some four times, and the objective of the shortest ones leaves them 60 ms.
	lagTarget = 10 * time.Millisecond
	// mostLate bounds a measurement, so that a pause of the process, after which it is on time again, is soon forgotten.
	mostLate = 50 * time.Millisecond
	// shedRise and shedDamping are the steps of the part turned away, for a lag that is off by its target and for one that
	// has risen by it since the last measurement: the proportional integral controller of RFC 8033.
	shedRise    = 0.02
	shedDamping = 0.2
	// burstAllowance is how long a process may be late before it turns jobs away, as it is when it has just started or its
	// memory is collected; RFC 8033 allows as much.
	burstAllowance = 150 * time.Millisecond
	// shedNoted is the part turned away from which on a line says so.
	shedNoted = 0.05
)

var lagTimes = metrics.NewHistogram(`chervilusher_lag_seconds`)

// Shedder tells which part of the jobs this process has to turn away so that it is in time with the others.
type Shedder interface {
	// Shed returns the part, from 0 to 1.
	Shed() float64
}

// LagController measures how late this process gets to what is due, and turns jobs away accordingly. With more work than
// processor everything waits for its turn: timers, and heartbeats and answers that have arrived long ago.
type LagController struct {
	common *common.Common
	lag    time.Duration // the last one measured
	part   float64       // that is to be turned away, but for bursts
	burst  time.Duration // what is left of the allowance
	shed   atomic.Uint64 // bits of the part that is turned away
	noted  bool
}

// NewLagController returns a controller that has measured nothing yet.
func NewLagController(c *common.Common) *LagController {
	return &LagController{common: c.Prefixed("lag"), burst: burstAllowance}
}

// Shed returns the part of the jobs that is to be turned away.
func (l *LagController) Shed() float64 {
	return math.Float64frombits(l.shed.Load())
}

// Serve measures until the context ends.
func (l *LagController) Serve(ctx context.Context) {
	for {
		due := l.common.Clock.Now().Add(lagInterval)
		select {
		case <-ctx.Done():
			return
		case <-l.common.Clock.After(lagInterval):
			// A goroutine that a timer wakes goes before others that can run; after a yield it waits as long as they do.
			runtime.Gosched()
			l.measured(l.common.Clock.Since(due))
		}
	}
}

// measured takes in how late a timer came.
func (l *LagController) measured(late time.Duration) {
	late = min(max(0, late), mostLate)
	lagTimes.Update(late.Seconds())
	off := float64(late-lagTarget) / float64(lagTarget)
	rise := float64(late-l.lag) / float64(lagTarget)
	isCalm := l.part == 0 && late < lagTarget/2 && l.lag < lagTarget/2
	l.lag = late
	l.part = min(max(0, l.part+shedRise*off+shedDamping*rise), 1)
	if isCalm {
		l.burst = burstAllowance
	} else {
		l.burst = max(0, l.burst-lagInterval)
	}
	shed := 0.0
	if l.burst == 0 {
		shed = l.part
	}
	l.shed.Store(math.Float64bits(shed))
	l.note(shed)
}

func (l *LagController) note(shed float64) {
	switch {
	case !l.noted && shed > shedNoted:
		l.noted = true
		l.common.Log.WithField("lag", l.lag.String()).WithField("shed", shed).Warn("this process falls behind")
	case l.noted && shed == 0:
		l.noted = false
		l.common.Log.Info("this process has caught up")
	}
}

// shouldShed reports whether one more job is to be turned away, of which a part is.
func shouldShed(part float64) bool {
	return rand.Float64() < part
}
