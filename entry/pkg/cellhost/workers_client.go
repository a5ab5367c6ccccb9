package cellhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
)

// Errors of calls to workers.
var (
	// ErrFenced says that a keeper with a higher token has the worker, which has done nothing.
	ErrFenced = errors.New("another keeper has the worker")
	// ErrOtherIncarnation says that the worker has started anew since the keeper last heard of it, and has done nothing.
	ErrOtherIncarnation = errors.New("the worker has another incarnation")
)

// isFenced reports whether a worker has done nothing because another keeper has it.
func isFenced(err error) bool {
	return errors.Is(err, ErrFenced)
}

// Target is the worker that a call is meant for.
type Target struct {
	ID      string
	Address string // host:port
}

// HoldCall asks a worker for its lists and renews the lease of what runs there.
type HoldCall struct {
	Token int64
	Ack   int64         // ends up to this number were taken in
	Wait  time.Duration // how long the worker may wait for an end
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

// StopCall stops a run, or keeps it from starting.
type StopCall struct {
	Token int64
	Task  string
	Run   int
}

// WorkerClient speaks to workers.
type WorkerClient interface {
	Hold(ctx context.Context, target Target, call HoldCall) (*cell.Report, error)
	// Start returns ErrFenced or ErrOtherLife beside StartRejected, and any other error beside StartUnsure.
	Start(ctx context.Context, target Target, call StartCall) (cell.StartResult, error)
	Stop(ctx context.Context, target Target, call StopCall) error
}
