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
)

// Identity names a submission at its home.
type Identity struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"inc"`
	Window      int64  `json:"win"`
	Key         string `json:"key"`
}

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

// AnswerResponse carries the home's answer; Incarnation is that of the process which gave it.
type AnswerResponse struct {
	Incarnation string     `json:"inc"`
	Answer      api.Answer `json:"ans"`
}
