package lending

import (
	"time"

	"chervilusher.dev/lib/api"
)

// Requirements is a kind of waiting work as far as its room is concerned.
type Requirements struct {
	Group          string   `json:"grp"`
	Need           api.Need `json:"need,omitzero"`
	FailureDomains []string `json:"pl,omitempty"` // failure domains; empty means all
}

// Demand is waiting work that a host has no slots for.
type Demand struct {
	Requirements Requirements `json:"want"`
	Count        int          `json:"n"`               // tasks
	Limit        float64      `json:"max,omitempty"`   // slower back ends are not wanted; zero means no bound
	Avoid        []string     `json:"not,omitempty"`   // back ends that the host has ejected
	MayWait      int          `json:"later,omitempty"` // tasks that may wait at the keeper for slots to come back
}

// Holding is a number of slots of one back end.
type Holding struct {
	Backend  string  `json:"be"`
	Slots    int     `json:"n"`
	Slowness float64 `json:"slow,omitempty"` // as the sender has learnt it; zero when it has not
}

// BorrowRequest is what a host tells a keeper: what it holds or gives back, and what it needs.
type BorrowRequest struct {
	Host        string    `json:"host"`
	Incarnation string    `json:"inc"`
	Epoch       uint64    `json:"ep"`             // counts full asks; grants of an earlier epoch are void
	Full        bool      `json:"full,omitempty"` // Held is everything that the host holds of the keeper's slots
	Held        []Holding `json:"held,omitempty"`
	Returned    []Holding `json:"ret,omitempty"`
	Demands     []Demand  `json:"dem,omitempty"`
}

// Offer tells how many slots of one speed a keeper has free.
type Offer struct {
	Group    string  `json:"grp"`
	Slowness float64 `json:"slow"`
	Free     int     `json:"n"`
}

// Term is how long the lease of a worker still lasts, and its fencing token.
type Term struct {
	Backend string        `json:"be"`
	Fence   int64         `json:"fence"`
	Left    time.Duration `json:"left"`
}

// Recall asks for slots back because other hosts wait for them.
type Recall struct {
	Group string `json:"grp"`
	Slots int    `json:"n"`
}

// BorrowResponse is what a keeper lends.
type BorrowResponse struct {
	Granted []Holding     `json:"gr,omitempty"`
	Offers  []Offer       `json:"off,omitempty"` // the fastest free slots that remain
	Terms   []Term        `json:"terms,omitempty"`
	Recalls []Recall      `json:"rec,omitempty"`
	Length  time.Duration `json:"len"` // of the loan, from when the ask was sent
}

// PushRequest is a grant that a keeper sends by itself, for demand that it remembered.
type PushRequest struct {
	Host    string    `json:"-"`
	Lender  string    `json:"keep"`
	Epoch   uint64    `json:"ep"` // of the borrower's last full ask
	Granted []Holding `json:"gr"`
	Terms   []Term    `json:"terms,omitempty"`
}

// PushResponse answers a Push: false when it is void for the host.
type PushResponse struct {
	OK bool `json:"ok"`
}
