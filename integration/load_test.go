package integration

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
)

// load is callers that send one job after another through all hosts.
type load struct {
	mutex    sync.Mutex
	complete int
	ended    map[string]error // by mark
	running  sync.WaitGroup
	stop     context.CancelFunc
}

// startLoad runs callers until the test stops them; each begins with another host.
func (f *fleet) startLoad(callers int) *load {
	ctx, stop := context.WithCancel(context.Background())
	started := &load{ended: map[string]error{}, stop: stop}
	f.t.Cleanup(stop)
	for i := range callers {
		caller := f.client(append(append([]*entry{}, f.entries[i%len(f.entries):]...), f.entries[:i%len(f.entries)]...)...)
		started.running.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				mark := fmt.Sprintf("load-%d-%d", i, j)
				_, err := caller.Run(context.Background(), job(task("desk", mark, 20*time.Millisecond)))
				started.record(mark, err)
			}
		})
	}
	return started
}

func (l *load) record(mark string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err == nil {
		l.complete++
	}
	l.ended[mark] = err
}

func (l *load) finish() {
	l.stop()
	l.running.Wait()
}

// requireTrueErrors holds what callers were told against the back ends' counts, and returns how many were told that it may have run.
func (f *fleet) requireTrueErrors(ended map[string]error) (unknown int) {
	f.t.Helper()
	f.requireAtMostOnce()
	marks := f.office.Marks()
	for mark, err := range ended {
		switch {
		case err == nil:
			require.EqualValues(f.t, 1, marks[mark], mark)
		case client.Ran(err) == api.RanNo:
			require.Zero(f.t, marks[mark], "%s was said not to have run: %s", mark, err)
		default:
			unknown++
		}
	}
	return unknown
}

func TestCallersNoticeNothingOfAPlannedStop(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x", "x"}, minions: 6, slots: 16})
	running := f.startLoad(12)
	time.Sleep(500 * time.Millisecond)
	f.entries[0].signal(syscall.SIGTERM)
	require.NoError(t, <-f.entries[0].exited)
	time.Sleep(500 * time.Millisecond)
	running.finish()
	require.Zero(t, f.requireTrueErrors(running.ended))
	for mark, err := range running.ended {
		require.NoError(t, err, mark)
	}
	t.Logf("%d of %d complete", running.complete, len(running.ended))
}

func TestKilledHostLeavesNoFalseAnswer(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x", "x"}, minions: 6, slots: 16})
	running := f.startLoad(12)
	time.Sleep(300 * time.Millisecond)
	f.entries[0].kill()
	time.Sleep(300 * time.Millisecond)
	f.entries[0].start()
	f.entries[0].waitReady()
	f.entries[1].signal(syscall.SIGSTOP)
	f.entries[2].kill()
	time.Sleep(300 * time.Millisecond)
	f.entries[1].signal(syscall.SIGCONT)
	f.entries[2].start()
	f.entries[2].waitReady()
	time.Sleep(300 * time.Millisecond)
	running.finish()
	unknown := f.requireTrueErrors(running.ended)
	require.NotZero(t, running.complete)
	t.Logf("%d of %d complete, %d unknown", running.complete, len(running.ended), unknown)
}
