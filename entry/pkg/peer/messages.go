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

// Identity names a submission at its home.
type Identity struct {
	Account       string `json:"owner"`
	FailureDomain string `json:"plc"`
	Host          string `json:"host"`
	Incarnation   string `json:"inc"`
	Window        int64  `json:"win"`
	Key           string `json:"key"`
}

// IdentityOf returns the submission that a call is about.
func (r *SubmitRequest) IdentityOf() *Identity { return &r.Identity }

// IdentityOf returns the submission that a call is about.
func (r *WaitRequest) IdentityOf() *Identity { return &r.Identity }

// IdentityOf returns the submission that a call is about.
func (r *CancelRequest) IdentityOf() *Identity { return &r.Identity }

// SubmitRequest hands a submission to its home.
type SubmitRequest struct {
	Identity   Identity       `json:"id"`
	Submission api.Submission `json:"sub"`
	Idempotent bool           `json:"idem"`
	Digest     uint64         `json:"sum"`
	Wait       time.Duration  `json:"wait"`
}

// WaitRequest asks a submission's home for its answer.
type WaitRequest struct {
	Identity Identity      `json:"id"`
	Wait     time.Duration `json:"wait"`
}

// CancelRequest tells a submission's home to cancel it.
type CancelRequest struct {
	Identity Identity `json:"id"`
}

// AnswerResponse carries the home's answer; Incarnation is that of the process which gave it, and Key that of the submission asked for.
type AnswerResponse struct {
	Incarnation string     `json:"inc"`
	Key         string     `json:"key"`
	Answer      api.Answer `json:"ans"`
}

// HandoverEntry is one ended submission of a home that leaves; without an answer it is only known to have been taken.
type HandoverEntry struct {
	Account string      `json:"owner"`
	Window  int64       `json:"win"`
	Key     string      `json:"key"`
	Digest  uint64      `json:"sum"`
	Answer  *api.Answer `json:"ans"`
}

// HandoverRequest is one part of a leaving home's record.
type HandoverRequest struct {
	Incarnation   string          `json:"inc"`
	FailureDomain string          `json:"plc"`   // of the home
	OldestWindow  int64           `json:"floor"` // earlier windows are forgotten
	Entries       []HandoverEntry `json:"ents"`
	Last          bool            `json:"last"` // the record is whole with this part
}

// HandoverResponse tells that the part is kept.
type HandoverResponse struct {
	Kept bool `json:"kept"`
}

// RecordRequest asks for a submission of a home that may have left.
type RecordRequest struct {
	Identity Identity `json:"id"`
	Digest   uint64   `json:"sum"` // of a submission that is sent again; zero otherwise
}

// RecordResponse carries the answer, if the host has that home's record.
type RecordResponse struct {
	Known  bool       `json:"known"`
	Answer api.Answer `json:"ans"`
}
