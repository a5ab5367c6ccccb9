package client

import (
	"fmt"
	"net"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
)

// Error is a final answer that is not complete.
type Error struct {
	Answer api.Answer
}

// Error names the state, the code, whether anything ran, and the reason.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s), run: %s", e.Answer.State, e.Answer.Code, e.Answer.Ran)
	if e.Answer.Reason != "" {
		text += ": " + e.Answer.Reason
	}
	return text
}

// Repeatable reports whether nothing was run and the same work may be accepted later.
func (e *Error) Repeatable() bool {
	if e.Answer.Ran != api.RanNo {
		return false
	}
	switch e.Answer.Code {
	case api.CodeOverload, api.CodeQuota, api.CodeDraining, api.CodeUnavailable, api.CodeBadTicket:
		return true
	default:
		return false
	}
}

// LostError tells that no entry host gave an answer.
type LostError struct {
	Sent  bool // a request may have reached an entry host
	Cause error
}

// Error names the last cause and whether the work may have been run.
func (e *LostError) Error() string {
	if e.Sent {
		return "no answer from any entry host, it may have run: " + e.Cause.Error()
	}
	return "no entry host can be reached, nothing was run: " + e.Cause.Error()
}

// Unwrap returns the last cause.
func (e *LostError) Unwrap() error {
	return e.Cause
}

// Ran tells whether the work behind an error was run, as far as anyone knows.
func Ran(err error) api.Ran {
	var answered *Error
	if errors.As(err, &answered) {
		return answered.Answer.Ran
	}
	var lost *LostError
	if errors.As(err, &lost) && !lost.Sent {
		return api.RanNo
	}
	return api.RanUnknown
}

// neverSent reports whether the connection was not even made.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
