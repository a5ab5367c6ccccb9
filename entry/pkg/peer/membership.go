package peer

import (
	"chervilusher.dev/entry/pkg/lending"
)

// Methods of membership, configuration and lending.
const (
	MethodBeat   = "beat"
	MethodDelta  = "delta"
	MethodBorrow = "borrow"
	MethodPush   = "push"
)

// Beat is a heartbeat; both sides of a call tell the same of themselves.
type Beat struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"`
	Leaving     bool   `json:"l,omitempty"`
	Next        int64  `json:"c"` // offset of the first configuration record not yet folded
}

// DeltaRequest asks for what changed in the configuration from an offset on.
type DeltaRequest struct {
	From int64 `json:"from"`
}

// DeltaResponse is what changed; JSON keeps the documents' own form.
type DeltaResponse struct {
	Delta []byte `json:"delta"` // a configuration.Delta as JSON
}

// Types of lending calls.
type (
	// BorrowRequest tells a keeper what a host holds and needs.
	BorrowRequest = lending.Ask
	// BorrowResponse is what the keeper lends.
	BorrowResponse = lending.Answer
	// PushRequest is a grant for demand that the keeper remembered.
	PushRequest = lending.Push
	// PushResponse tells whether the host took it.
	PushResponse = lending.Taken
)
