package api

import "encoding/json"

// Change is the body of POST /v1/owners/{owner}/configuration.
type Change struct {
	Base     int64           `json:"base"`    // the version that the document was made from; zero for a first one
	Publish  string          `json:"publish"` // unique identifier of this attempt; the same one may be sent again
	Document json.RawMessage `json:"document"`
}

// Fault is the body of every error of the operators' API.
type Fault struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason"`
}

// Drained answers POST /v1/drain.
type Drained struct {
	Running int `json:"running"` // submissions that the host still finishes
}

// Codes of the operators' API besides those of callers.
const (
	CodeConflict Code = "conflict" // the change was made from a version that is no longer in force
	CodeRejected Code = "rejected" // the document fails a check
)
