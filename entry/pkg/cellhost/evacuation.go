package cellhost

import (
	"slices"
	"sync"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// EvacuationChange is what a reading of the operator's log says about evacuations.
type EvacuationChange struct {
	Entries  []EvacuationEntry // in the order in which they were written
	Snapshot bool              // failure domains that are not named are not evacuated
	Next     int64             // position in the operator's log at which the change ends
}

// EvacuationEntry states whether a failure domain is evacuated.
type EvacuationEntry struct {
	FailureDomain string
	Evacuated     bool
}

// EvacuationObserver is told which failure domains are evacuated whenever this changes.
type EvacuationObserver interface {
	SetEvacuated(domains []string)
}

// EvacuationController holds which failure domains are evacuated, as read from the operator's log or told by a peer;
// it never returns to an earlier position of that log.
type EvacuationController struct {
	common    *common.Common
	board     *Board
	observers []EvacuationObserver
	refusals  common.Refusals

	mu sync.Mutex
}

// NewEvacuationController returns a controller of a host that knows of no evacuation.
func NewEvacuationController(c *common.Common, board *Board, observers ...EvacuationObserver) *EvacuationController {
	return &EvacuationController{common: c.Prefixed("evacuation"), board: board, observers: observers}
}

// Apply applies a reading of the operator's log; one that ends before the known position is ignored.
func (e *EvacuationController) Apply(change *EvacuationChange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.board.Evacuations()
	if change.Next < current.Position {
		return
	}
	domains := map[string]bool{}
	if !change.Snapshot {
		for _, domain := range current.Domains {
			domains[domain] = true
		}
	}
	for _, entry := range change.Entries {
		domains[entry.FailureDomain] = entry.Evacuated
	}
	e.store(&peer.Evacuations{Position: change.Next, Domains: evacuatedNames(domains)}, "store")
}

// ApplyFromPeer applies what a peer knows if it has read more of the operator's log.
func (e *EvacuationController) ApplyFromPeer(told *peer.Evacuations, name string) {
	if told == nil || told.Position <= e.board.Evacuations().Position {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if told.Position > e.board.Evacuations().Position {
		e.store(told, "peer "+name)
	}
}

// store puts the evacuations in force; the caller holds the lock.
func (e *EvacuationController) store(now *peer.Evacuations, source string) {
	before := e.board.Evacuations()
	now.Domains = e.named(now.Domains)
	e.board.evacuations.Store(now)
	if slices.Equal(before.Domains, now.Domains) {
		return
	}
	e.common.ReportEvacuations(before.Domains, now.Domains, source)
	for _, observer := range e.observers {
		observer.SetEvacuated(now.Domains)
	}
}

// named returns the domains whose names can be told to other hosts; the others are logged once.
func (e *EvacuationController) named(domains []string) []string {
	var named []string
	for _, domain := range domains {
		if err := peer.CheckName(domain); err == nil {
			named = append(named, domain)
		} else if e.refusals.Add(domain) {
			e.common.Log.WithField("place", domain).WithError(err).Warn("cannot use the name of an evacuated failure domain")
		}
	}
	return named
}

// evacuatedNames returns the names with a true value in order.
func evacuatedNames(domains map[string]bool) []string {
	var names []string
	for name, evacuated := range domains {
		if evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
