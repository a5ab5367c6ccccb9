package cellhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
)

// Errors of calls to workers.
var (
	// ErrFenced reports that a keeper with a higher token holds the worker, which has done nothing.
	ErrFenced = errors.New("another keeper has the worker")
	// ErrOtherIncarnation reports that the worker has restarted since the keeper last received an answer, and has done
	// nothing.
	ErrOtherIncarnation = errors.New("the worker has another incarnation")
)

// isFenced reports whether a worker has done nothing because another keeper holds it.
func isFenced(err error) bool {
	return errors.Is(err, ErrFenced)
}

// Target is the worker that a call is meant for.
type Target struct {
	ID      string
	Address string // host:port
}

// HoldCall asks a worker for its lists and renews the lease of its runs.
type HoldCall struct {
	Token int64
	Ack   int64         // ends of runs up to this number were processed
	Wait  time.Duration // how long the worker may wait for the end of a run
	Lease time.Duration // the lease's end on the worker's clock; zero renews nothing
}

// StartCall starts a run.
type StartCall struct {
	Token int64
	Task  string
	Run   int
	Spec  string
	Lease time.Duration // the lease's end on the worker's clock, after which the run must not begin
}

// StopCall stops a run, or prevents its start.
type StopCall struct {
	Token int64
	Task  string
	Run   int
}

// WorkerClient makes calls to workers.
type WorkerClient interface {
	Hold(ctx context.Context, target Target, call HoldCall) (*cell.Report, error)
	// Start returns ErrFenced or ErrOtherIncarnation with StartRejected, and any other error with StartUnconfirmed.
	Start(ctx context.Context, target Target, call StartCall) (cell.StartResult, error)
	Stop(ctx context.Context, target Target, call StopCall) error
}
