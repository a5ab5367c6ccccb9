package cellhost

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestRefusedConnectionIsEvidenceOfACrash guards against taking silence, which a partition causes as well, for a crash,
// and against not seeing one.
func TestRefusedConnectionIsEvidenceOfACrash(t *testing.T) {
	refused := errors.WithStack(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
	for _, test := range []struct {
		name    string
		err     error
		crashes uint64
	}{
		{"refused connection", refused, 1},
		{"another incarnation answers", ErrOtherIncarnation, 1},
		{"timeout", context.DeadlineExceeded, 0},
		{"reset connection", errors.WithStack(&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newKeeperFixture(t)
			before := cellWorkerCrashes.Get()
			go k.loop.serve()
			k.worker.next(t).answer <- heldAnswer{report: k.report()}
			k.worker.next(t).answer <- heldAnswer{err: test.err}
			k.worker.next(t).answer <- heldAnswer{err: test.err} // counts once
			require.NoError(t, k.clock.BlockUntilContext(t.Context(), 1))
			require.Equal(t, test.crashes, cellWorkerCrashes.Get()-before)
		})
	}
}

// TestUndeliveredStartIsNotWaitedFor guards against a task that waits for the end of a lease although its start was never
// sent, as its worker had just crashed; one that may have been sent has to wait.
func TestUndeliveredStartIsNotWaitedFor(t *testing.T) {
	for _, test := range []struct {
		name    string
		err     error
		started bool
	}{
		{"refused connection", errors.WithStack(os.NewSyscallError("connect", syscall.ECONNREFUSED)), false},
		{"reset connection", errors.WithStack(os.NewSyscallError("read", syscall.ECONNRESET)), true},
		{"timeout", context.DeadlineExceeded, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newKeeperFixture(t)
			now := k.clock.Now()
			k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
			job := k.job()
			effects := k.keeper.cell.Submit(job, now)
			k.worker.startErr = test.err
			k.keeper.sendStart(effects.Starts[0])
			require.Equal(t, test.started, job.Started())
			require.Equal(t, test.started, !k.loop.worker.Idle())
		})
	}
}
