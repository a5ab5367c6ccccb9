package lending

import (
	"time"

	"chervilusher.dev/lib/api"
)

// Requirements is what a kind of waiting task needs of a back end.
type Requirements struct {
	Group          string   `json:"grp"`
	Need           api.Need `json:"need,omitzero"`
	FailureDomains []string `json:"pl,omitempty"` // empty means all
}

// Demand is a number of waiting tasks without slots.
type Demand struct {
	Requirements Requirements `json:"want"`
	Count        int          `json:"n"`               // tasks
	Limit        float64      `json:"max,omitempty"`   // maximum slowness of the back ends; zero means no bound
	Avoid        []string     `json:"not,omitempty"`   // back ends that the host has ejected
	MayWait      int          `json:"later,omitempty"` // tasks that may wait at the lender until slots are returned
}

// Holding is a number of slots of one back end.
type Holding struct {
	Backend  string  `json:"be"`
	Slots    int     `json:"n"`
	Slowness float64 `json:"slow,omitempty"` // as measured by the sender; zero if unknown
}

// BorrowRequest reports a host's holdings and returned slots to a lender, and requests slots.
type BorrowRequest struct {
	Host        string    `json:"host"`
	Incarnation string    `json:"inc"`
	Epoch       uint64    `json:"ep"`             // counts full requests; grants of an earlier epoch are void
	Full        bool      `json:"full,omitempty"` // Held lists all of the lender's slots that the host holds
	Held        []Holding `json:"held,omitempty"`
	Returned    []Holding `json:"ret,omitempty"`
	Demands     []Demand  `json:"dem,omitempty"`
}

// Offer is the number of free slots of one speed at a lender.
type Offer struct {
	Group    string  `json:"grp"`
	Slowness float64 `json:"slow"`
	Free     int     `json:"n"`
}

// Term is the remaining time of a worker's lease, and its fencing token.
type Term struct {
	Backend string        `json:"be"`
	Fence   int64         `json:"fence"`
	Left    time.Duration `json:"left"`
}

// Recall requests the return of slots for which other hosts wait, or of those of a back end that has shrunk.
type Recall struct {
	Group   string `json:"grp"`
	Slots   int    `json:"n"`
	Backend string `json:"be,omitempty"` // that has shrunk below what is lent of it; its slots are not to be used again
}

// BorrowResponse is a lender's response to a BorrowRequest.
type BorrowResponse struct {
	Granted []Holding     `json:"gr,omitempty"`
	Offers  []Offer       `json:"off,omitempty"` // the fastest free slots that remain
	Terms   []Term        `json:"terms,omitempty"`
	Recalls []Recall      `json:"rec,omitempty"`
	Length  time.Duration `json:"len"` // of the loan, from when the request was sent
}

// PushRequest is a grant that a lender sends unasked, for registered demand.
type PushRequest struct {
	Host    string    `json:"-"`
	Lender  string    `json:"keep"`
	Epoch   uint64    `json:"ep"` // of the borrower's last full request
	Granted []Holding `json:"gr"`
	Terms   []Term    `json:"terms,omitempty"`
}

// PushResponse answers a PushRequest; OK is false when the grant is void for the host.
type PushResponse struct {
	OK bool `json:"ok"`
}
