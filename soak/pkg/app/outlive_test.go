package app

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/soak/pkg/yard"
	"chervilusher.dev/standin/pkg/relay"
	"chervilusher.dev/standin/pkg/runner"
)

// endBound is how long after a caller has seen its connection break or a 504 a run of its job may last: the time until it sends the
// job again, less the 40 ms that the program leaves for the way of the news to the caller.
const endBound = resendDelay - 40*time.Millisecond

// TestRunsEndBeforeTheirCallerSendsTheJobAgain loses hosts and connections under a running job, and checks how long its run lasts
// after its caller has seen the break or the 504, also where the keeper can stop nothing any more.
func TestRunsEndBeforeTheirCallerSendsTheJobAgain(t *testing.T) {
	freeze := func(under *yard.Yard) {
		for _, worker := range under.Workers {
			worker.Relay.Faults().Set(relay.Faults{Freeze: true})
		}
	}
	for name, lose := range map[string]func(under *yard.Yard, home, keeper *yard.Host){
		"home killed":                   func(_ *yard.Yard, home, _ *yard.Host) { home.Kill() },
		"keeper killed":                 func(_ *yard.Yard, _, keeper *yard.Host) { keeper.Kill() },
		"keeper paused":                 func(_ *yard.Yard, _, keeper *yard.Host) { keeper.Signal(syscall.SIGSTOP) },
		"keeper killed, then home":      func(_ *yard.Yard, home, keeper *yard.Host) { keeper.Kill(); home.Kill() },
		"home killed, workers silent":   func(under *yard.Yard, home, _ *yard.Host) { freeze(under); home.Kill() },
		"keeper paused, workers silent": func(under *yard.Yard, _, keeper *yard.Host) { freeze(under); keeper.Signal(syscall.SIGSTOP) },
	} {
		t.Run(name, func(t *testing.T) {
			under := newYard(t, 1, 2, 2)
			keeper, home := keeperOf(t, under)
			for _, worker := range under.Workers {
				worker.Runner.Faults.Set(runner.Faults{Hang: 1}) // no run ends by itself
			}
			seen := make(chan int, 1)
			go func() { seen <- send(under, home, 1, 1500*time.Millisecond) }()
			require.Eventually(t, func() bool { return under.Ledger.Running() == 1 }, time.Second, time.Millisecond)
			time.Sleep(500 * time.Millisecond) // the lease has been renewed
			lose(under, home, keeper)
			require.Contains(t, []int{0, http.StatusGatewayTimeout}, <-seen)
			broken := time.Now()
			require.Eventually(t, func() bool { return under.Ledger.Running() == 0 }, endBound, time.Millisecond, "a caller may send the job again")
			t.Logf("the run ended %s after the caller saw the break", time.Since(broken).Round(time.Millisecond))
			keeper.Signal(syscall.SIGCONT)
			require.Empty(t, under.Ledger.Breaches())
		})
	}
}
