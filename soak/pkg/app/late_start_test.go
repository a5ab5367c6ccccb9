package app

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/soak/pkg/yard"
	"chervilusher.dev/standin/pkg/runner"
)

const (
	// lateAfter is how late the lost start is carried out, and lateLength how long its task runs, so that the job's second
	// attempt is at work by then.
	lateAfter, lateLength = 3 * time.Second, 4 * time.Second
	// latePatience is how long the caller of the job waits for each attempt.
	latePatience = 12 * time.Second
	// crashTime is how long the worker of the lost start is down, and backBefore how long it is back when it carries the start out.
	crashTime, backBefore = time.Second, 20 * time.Millisecond
)

// sendLong sends a job of one task that takes lateLength, and returns the answer's status, or 0.
func sendLong(to *yard.Host) int {
	ctx, cancel := context.WithTimeout(context.Background(), latePatience)
	defer cancel()
	body := fmt.Sprintf(`{"best_effort":true,"spec":"{\"length\":%d,\"cores\":7000}","steps":[{"count":1,"cpu":7000,"estimated_ms":%d}]}`,
		lateLength, lateLength.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Caller+yard.QueuePath+"00000000000000aa", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = yard.QueueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chervilusher-Deadline-Remaining", fmt.Sprint(latePatience.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestLateStartOfALostKeeperRunsBesideNothing guards against a start whose keeper is lost as soon as it has sent it, and which its
// worker carries out in a later life, while the job's next attempt runs elsewhere.
func TestLateStartOfALostKeeperRunsBesideNothing(t *testing.T) {
	kill := func(hosts ...*yard.Host) {
		for _, host := range hosts {
			go host.Kill()
		}
	}
	for name, lost := range map[string]struct {
		crashes int // of the worker before it carries the start out
		lose    func(home, keeper *yard.Host)
		own     bool // the job's home is the keeper
	}{
		"keeper":                   {1, func(_, keeper *yard.Host) { kill(keeper) }, false},
		"keeper, and two crashes":  {2, func(_, keeper *yard.Host) { kill(keeper) }, false},
		"keeper and home in one":   {1, func(_, keeper *yard.Host) { kill(keeper) }, true},
		"the whole failure domain": {1, func(home, keeper *yard.Host) { kill(keeper, home) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			under := newYard(t, 3, 2, 2)
			keeper, home := keeperOf(t, under)
			other := under.Hosts[2]
			first := home
			if lost.own {
				first = keeper
			}
			var isLost atomic.Bool
			for _, worker := range under.Workers[:2] {
				worker.Runner.Faults.Set(runner.Faults{Mute: 1, Delay: lateAfter, OnMute: func(at *runner.Runner) {
					if !isLost.CompareAndSwap(false, true) {
						return
					}
					lost.lose(home, keeper)
					for crash := range lost.crashes {
						before := time.Duration(lost.crashes-crash) * (crashTime + 200*time.Millisecond)
						time.AfterFunc(lateAfter-backBefore-before+200*time.Millisecond, func() { at.CrashFor(crashTime) })
					}
				}})
			}
			status := sendLong(first)
			require.Contains(t, []int{0, http.StatusGatewayTimeout}, status)
			require.True(t, isLost.Load())
			for _, worker := range under.Workers[:2] {
				worker.Runner.Faults.Set(runner.Faults{})
			}
			for range 4 {
				if status == http.StatusOK {
					break
				}
				time.Sleep(resendDelay)
				status = sendLong(other)
			}
			require.Equal(t, http.StatusOK, status)
			require.Empty(t, under.Ledger.Breaches())
		})
	}
}
