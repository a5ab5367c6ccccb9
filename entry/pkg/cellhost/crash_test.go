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
