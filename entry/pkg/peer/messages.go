package peer

import (
	"time"

	"chervilusher.dev/lib/api"
)

// Methods between entry hosts.
const (
	MethodSubmit = "submit"
	MethodWait   = "wait"
	MethodCancel = "cancel"

	MethodHandover = "handover"
	MethodRecord   = "record"
)

// Identity identifies a submission at its home host.
type Identity struct {
	Account       string `json:"owner"`
	FailureDomain string `json:"plc"`
	Host          string `json:"host"`
	Incarnation   string `json:"inc"`
	Window        int64  `json:"win"`
	Key           string `json:"key"`
}

// IdentityOf returns the identity of the submission.
func (r *SubmitRequest) IdentityOf() *Identity { return &r.Identity }

// IdentityOf returns the identity of the submission.
func (r *WaitRequest) IdentityOf() *Identity { return &r.Identity }

// IdentityOf returns the identity of the submission.
func (r *CancelRequest) IdentityOf() *Identity { return &r.Identity }

// SubmitRequest forwards a submission to its home host.
type SubmitRequest struct {
	Identity   Identity       `json:"id"`
	Submission api.Submission `json:"sub"`
	Idempotent bool           `json:"idem"`
	Digest     uint64         `json:"sum"`
	Wait       time.Duration  `json:"wait"`
}

// WaitRequest asks a submission's home host for its answer.
type WaitRequest struct {
	Identity Identity      `json:"id"`
	Wait     time.Duration `json:"wait"`
}

// CancelRequest asks a submission's home host to cancel it.
type CancelRequest struct {
	Identity Identity `json:"id"`
}

// AnswerResponse carries the home host's answer. Incarnation is that of the process that gave it, and Key that of the
// submission asked for.
type AnswerResponse struct {
	Incarnation string     `json:"inc"`
	Key         string     `json:"key"`
	Answer      api.Answer `json:"ans"`
}

// HandoverEntry is a finished submission of a leaving home host; without an answer, only its acceptance is known.
type HandoverEntry struct {
	Account string      `json:"owner"`
	Window  int64       `json:"win"`
	Key     string      `json:"key"`
	Digest  uint64      `json:"sum"`
	Answer  *api.Answer `json:"ans"`
}

// HandoverRequest is one part of the record of a leaving home host.
type HandoverRequest struct {
	Incarnation   string          `json:"inc"`
	FailureDomain string          `json:"plc"`   // of the home host
	OldestWindow  int64           `json:"floor"` // earlier windows were dropped
	Entries       []HandoverEntry `json:"ents"`
	Last          bool            `json:"last"` // this part completes the record
}

// HandoverResponse reports whether the part was stored.
type HandoverResponse struct {
	Kept bool `json:"kept"`
}

// RecordRequest asks for a submission of a home host that may have left.
type RecordRequest struct {
	Identity Identity `json:"id"`
	Digest   uint64   `json:"sum"` // of a resubmission; zero otherwise
}

// RecordResponse carries the answer, if the host has the record of that home host.
type RecordResponse struct {
	Known  bool       `json:"known"`
	Answer api.Answer `json:"ans"`
}
