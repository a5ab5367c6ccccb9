package app

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/soak/pkg/yard"
	"chervilusher.dev/standin/pkg/relay"
	"chervilusher.dev/standin/pkg/runner"
)

// recoveryBound is how long a lost host's workers may be without work: half a second of silence, the wait without a
// keeper, and the lease of 1 s that the last one may have left, with as much again for a busy machine.
const recoveryBound = 3500 * time.Millisecond

func newYard(t *testing.T, places, hosts, runners int) *yard.Yard {
	t.Helper()
	under, err := yard.New(yard.Settings{Binary: binary, Folder: t.TempDir(), Places: places, Hosts: hosts, Runners: runners, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(under.Close)
	require.NoError(t, under.AwaitReady(startTimeout))
	time.Sleep(300 * time.Millisecond) // the first holds
	return under
}

// send sends a job of one task and returns the answer's status, or 0.
func send(under *yard.Yard, to *yard.Host, number int, length time.Duration) int {
	sending := newCallers(under, 1)
	body := fmt.Appendf(nil, `{"best_effort":true,"spec":"{\"length\":%d,\"cores\":7000}","steps":[{"count":1,"cpu":7000,"estimated_ms":%d}]}`, length, length.Milliseconds())
	return sending.post(&job{id: fmt.Sprintf("%016x", number), tasks: 1, body: body}, to)
}

// keeperOf returns the host of the first place that keeps its cell, and its other one.
func keeperOf(t *testing.T, under *yard.Yard) (keeper, other *yard.Host) {
	t.Helper()
	for _, host := range under.Hosts[:2] {
		if host.Logged("took the cell") {
			keeper = host
		} else {
			other = host
		}
	}
	require.NotNil(t, keeper)
	require.NotNil(t, other)
	return keeper, other
}

func TestRecoveryFromALostKeeper(t *testing.T) {
	for name, lost := range map[string]struct {
		places int // with two hosts each; of two hosts alone, neither can tell a silent one from a cut
		lose   func(keeper *yard.Host)
	}{
		"killed":       {3, func(keeper *yard.Host) { keeper.Kill() }},
		"paused":       {3, func(keeper *yard.Host) { keeper.Signal(syscall.SIGSTOP) }},
		"planned stop": {1, func(keeper *yard.Host) { keeper.Signal(syscall.SIGTERM) }},
	} {
		t.Run(name, func(t *testing.T) {
			under := newYard(t, lost.places, 2, 3)
			keeper, other := keeperOf(t, under)
			// Other places' workers would hide how long this one is without a keeper.
			for _, worker := range under.Workers[3:] {
				under.List(worker, "draining")
			}
			time.Sleep(time.Second)
			lost.lose(keeper)
			began := time.Now()
			number := 1
			for send(under, other, number, 20*time.Millisecond) != http.StatusOK {
				number++
				require.Less(t, time.Since(began), recoveryBound, "no job is served")
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("served again after %s", time.Since(began).Round(time.Millisecond))
			keeper.Signal(syscall.SIGCONT)
			require.Empty(t, under.Ledger.Breaches())
		})
	}
}

func TestRecoveryFromLostWorkers(t *testing.T) {
	for name, lose := range map[string]func(worker *yard.Worker){
		"fails all": func(worker *yard.Worker) { worker.Runner.Faults.Set(runner.Faults{Fail: 1}) },
		"hangs":     func(worker *yard.Worker) { worker.Runner.Faults.Set(runner.Faults{Hang: 1}) },
		"silent":    func(worker *yard.Worker) { worker.Relay.Faults().Set(relay.Faults{Freeze: true}) },
		"crashes":   func(worker *yard.Worker) { worker.Runner.Crash() },
	} {
		t.Run(name, func(t *testing.T) {
			under := newYard(t, 1, 1, 3)
			lose(under.Workers[0])
			began := time.Now()
			inRow, number := 0, 1
			last := began
			for ; inRow < 10; number++ {
				if send(under, under.Hosts[0], number, 20*time.Millisecond) == http.StatusOK {
					inRow++
				} else {
					inRow, last = 0, time.Now()
				}
				require.Less(t, time.Since(began), recoveryBound, "jobs go on failing")
			}
			t.Logf("ten in a row served, the last failure %s after the fault", last.Sub(began).Round(time.Millisecond))
			require.Empty(t, under.Ledger.Breaches())
		})
	}
}

func TestNothingRunsForAHomeThatIsSilent(t *testing.T) {
	under := newYard(t, 1, 2, 3)
	_, home := keeperOf(t, under)
	ended := make(chan int, 1)
	go func() { ended <- send(under, home, 1, 2*time.Second) }()
	require.Eventually(t, func() bool { return under.Ledger.Running() == 1 }, time.Second, time.Millisecond)
	home.Signal(syscall.SIGSTOP)
	began := time.Now()
	require.Eventually(t, func() bool { return under.Ledger.Running() == 0 }, resendDelay, time.Millisecond, "a caller may send the job again by now")
	t.Logf("stopped after %s", time.Since(began).Round(time.Millisecond))
	home.Signal(syscall.SIGCONT)
	<-ended
}
