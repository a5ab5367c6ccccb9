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

// MembershipHeartbeat is exchanged between entry hosts; request and response carry the same fields.
type MembershipHeartbeat struct {
	Name         string `json:"n"`
	Incarnation  string `json:"i"`
	Leaving      bool   `json:"l,omitempty"`
	NextOffset   int64  `json:"c"` // offset of the first configuration record not yet applied
	HostsVersion int64  `json:"h"` // version of the host list
	Address      string `json:"a"` // of the peer listener, for a host that cannot read the host list
}

// HostsRequest asks for the host list as last read.
type HostsRequest struct{}

// HostsResponse is the host list as last read.
type HostsResponse struct {
	List platform.HostList `json:"list"`
}

// DeltaRequest asks for the configuration changes from an offset on.
type DeltaRequest struct {
	From int64 `json:"from"`
}

// DeltaResponse holds the configuration changes; JSON preserves the documents as they were written.
type DeltaResponse struct {
	Delta []byte `json:"delta"` // a configuration.Delta as JSON
}

// Types of lending calls.
type (
	// BorrowRequest reports to a lender what a host holds and needs.
	BorrowRequest = lending.BorrowRequest
	// BorrowResponse is what the lender grants.
	BorrowResponse = lending.BorrowResponse
	// PushRequest is a grant for demand that the lender has recorded.
	PushRequest = lending.PushRequest
	// PushResponse reports whether the host accepted the grant.
	PushResponse = lending.PushResponse
)
