package peer

import (
	"chervilusher.dev/entry/pkg/lending"
	"chervilusher.dev/lib/platform"
)

// Methods of membership, configuration and lending.
const (
	MethodMembershipHeartbeat = "beat"
	MethodDelta               = "delta"
	MethodHosts               = "hosts"
	MethodBorrow              = "borrow"
	MethodPush                = "push"
)

// MembershipHeartbeat is a heartbeat; both sides of a call tell the same of themselves.
type MembershipHeartbeat struct {
	Name         string `json:"n"`
	Incarnation  string `json:"i"`
	Leaving      bool   `json:"l,omitempty"`
	NextOffset   int64  `json:"c"` // offset of the first configuration record not yet folded
	HostsVersion int64  `json:"h"` // version of the host list
	Address      string `json:"a"` // of the peer listener, for a host that cannot read the host list
}

// HostsRequest asks for the host list as last read.
type HostsRequest struct{}

// HostsResponse is the host list as last read.
type HostsResponse struct {
	List platform.HostList `json:"list"`
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
	BorrowRequest = lending.BorrowRequest
	// BorrowResponse is what the keeper lends.
	BorrowResponse = lending.BorrowResponse
	// PushRequest is a grant for demand that the keeper remembered.
	PushRequest = lending.PushRequest
	// PushResponse tells whether the host took it.
	PushResponse = lending.PushResponse
)
