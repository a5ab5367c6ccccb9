package app

import (
	"net"

	"github.com/pkg/errors"

	"chervilusher.dev/cli/pkg/operator"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
	"chervilusher.dev/lib/publish"
)

// Exit codes, which docs/CLI.md explains.
const (
	exitDone        = 0 // it worked; a job is complete
	exitError       = 1 // an error that no other code names
	exitUsage       = 2 // the command line or a file is wrong; nothing was sent
	exitRefused     = 3 // refused, nothing was run
	exitFailed      = 4 // the work was run and failed
	exitUnknown     = 5 // nobody knows whether it was run
	exitCancelled   = 6 // the job was cancelled
	exitRejected    = 7 // the configuration was rejected or made from an old version
	exitUnreachable = 8 // no host could be reached, nothing was sent
)

// usageError marks an error of the command line or of a file.
type usageError struct {
	cause error
}

// Error names what is wrong.
func (e *usageError) Error() string {
	return e.cause.Error()
}

func usage(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{cause: err}
}

// errFindings says that a document is valid but holds what can hardly be meant; the findings have been printed.
var errFindings = errors.New("the document holds what can have no effect or contradicts itself")

// rejectedError marks a configuration that was not accepted.
type rejectedError struct {
	reason string
}

// Error gives the reason of the rejection.
func (e *rejectedError) Error() string {
	return "the configuration was rejected: " + e.reason
}

// exitCode maps an error to the process's exit code.
func exitCode(err error) int {
	var wrong *usageError
	var rejected *rejectedError
	var answered *client.Error
	var lost *client.LostError
	var refused *operator.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &wrong):
		return exitUsage
	case errors.As(err, &rejected):
		return exitRejected
	case errors.Is(err, publish.ErrOutcomeUnknown) || errors.Is(err, publish.ErrOutcomeLost):
		return exitUnknown
	case errors.As(err, &answered):
		return exitOfAnswer(&answered.Answer)
	case errors.As(err, &lost) && lost.Sent:
		return exitUnknown
	case errors.As(err, &lost):
		return exitUnreachable
	case errors.As(err, &refused) && (refused.Fault.Code == api.CodeConflict || refused.Fault.Code == api.CodeRejected):
		return exitRejected
	case errors.As(err, &refused):
		return exitRefused
	case isUnreachable(err):
		return exitUnreachable
	default:
		return exitError
	}
}

// isUnreachable reports whether a connection could not even be made.
func isUnreachable(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

func exitOfAnswer(answer *api.Answer) int {
	switch {
	case answer.State == api.StateCancelled:
		return exitCancelled
	case answer.State == api.StateUnknown || answer.Ran == api.RanUnknown:
		return exitUnknown
	case answer.State == api.StateFailed && answer.Ran == api.RanYes:
		return exitFailed
	case answer.Ran == api.RanNo:
		return exitRefused
	default:
		return exitFailed
	}
}
