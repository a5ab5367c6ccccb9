package api

import (
	"encoding/json"
	"net/http"

	"chervilusher.dev/lib/jsontime"
)

// State is where a submission stands.
type State string

// States of a submission; all but StateRunning are final.
const (
	StateRunning   State = "running"
	StateComplete  State = "complete"
	StateFailed    State = "failed"
	StateRefused   State = "refused"
	StateCancelled State = "cancelled"
	StateUnknown   State = "unknown"
)

// Ran says whether any task of a submission was started.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code is the machine-readable reason of an answer that is not complete.
type Code string

// Codes of refusals and failures.
const (
	CodeNone         Code = ""
	CodeBadRequest   Code = "bad_request"  // the body, a header or a parameter is malformed
	CodeUnauthorized Code = "unauthorized" // the owner's token is missing or unknown
	CodeForbidden    Code = "forbidden"    // the ticket or the job belongs to another owner
	CodeBadTicket    Code = "bad_ticket"   // the ticket is forged, expired or unreadable
	CodeTooLarge     Code = "too_large"    // the body is larger than MaxBodyBytes
	CodeTooSlow      Code = "too_slow"     // the body arrived too slowly
	CodeNotFound     Code = "not_found"    // no such service, pool or job
	CodeImpossible   Code = "impossible"   // larger than any worker of its pool
	CodeOverload     Code = "overload"     // the predicted wait passes the deadline
	CodeQuota        Code = "quota"        // the owner's quota is used up
	CodeDraining     Code = "draining"     // the entry host is stopping
	CodeUnavailable  Code = "unavailable"  // the home or every back end cannot be reached now
	CodeExpired      Code = "expired"      // the deadline passed before the work ended
	CodeBadPayload   Code = "bad_payload"  // a task's payload is refused by its back end
	CodeTaskFailed   Code = "task_failed"  // a task ended with an error
	CodeTaskUnknown  Code = "task_unknown" // a start's outcome cannot be learnt
	CodeCancelled    Code = "cancelled"    // the caller cancelled the job
	CodeForgotten    Code = "forgotten"    // the answer is no longer kept
	CodeHomeLost     Code = "home_lost"    // the home's process is gone
	CodeMismatch     Code = "key_reused"   // the key was used for a different submission
	CodeInternal     Code = "internal"     // an invariant of the dispatcher was broken
)

// Result is the answer to one task.
type Result struct {
	Value json.RawMessage `json:"value,omitempty"`
}

// Answer tells a caller what became of its submission; Results is set only when State is complete.
type Answer struct {
	Key        string            `json:"key,omitempty"`
	Ticket     string            `json:"ticket,omitempty"`
	State      State             `json:"state"`
	Ran        Ran               `json:"ran"`
	Code       Code              `json:"code,omitempty"`
	Reason     string            `json:"reason,omitempty"`
	Results    []Result          `json:"results,omitempty"`
	Done       int               `json:"done,omitempty"`  // tasks ended so far, while running
	Tasks      int               `json:"tasks,omitempty"` // tasks of the submission
	RetryAfter jsontime.Duration `json:"retry,omitempty"`
}

// Final reports whether the answer will not change any more.
func (a *Answer) Final() bool {
	return a.State != StateRunning
}

// Ticket is a window token under which a caller mints identifiers.
type Ticket struct {
	Ticket string            `json:"ticket"`
	Left   jsontime.Duration `json:"left"` // how long new identifiers may be minted under it
}

var statusByCode = map[Code]int{
	CodeNone:         http.StatusOK,
	CodeBadRequest:   http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeForbidden:    http.StatusForbidden,
	CodeBadTicket:    http.StatusBadRequest,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeTooSlow:      http.StatusRequestTimeout,
	CodeNotFound:     http.StatusNotFound,
	CodeImpossible:   http.StatusUnprocessableEntity,
	CodeOverload:     http.StatusTooManyRequests,
	CodeQuota:        http.StatusTooManyRequests,
	CodeDraining:     http.StatusServiceUnavailable,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeExpired:      http.StatusGatewayTimeout,
	CodeBadPayload:   http.StatusUnprocessableEntity,
	CodeTaskFailed:   http.StatusBadGateway,
	CodeTaskUnknown:  http.StatusBadGateway,
	CodeCancelled:    http.StatusConflict,
	CodeForgotten:    http.StatusGone,
	CodeHomeLost:     http.StatusGone,
	CodeMismatch:     http.StatusConflict,
	CodeInternal:     http.StatusInternalServerError,
}

// Status returns the HTTP status that goes with the answer.
func (a *Answer) Status() int {
	if a.State == StateRunning {
		return http.StatusAccepted
	}
	if status, ok := statusByCode[a.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
