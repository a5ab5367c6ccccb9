package measure

import "time"

// Gaps finds, for the fastest back ends of each group, the longest time in which one of them got no start.
type Gaps struct {
	last    map[string]int64         // starts by back end
	since   map[string]time.Duration // of the last start seen
	longest time.Duration
	name    string
	fastest map[string]float64 // speed by group
}

// NewGaps returns a finder that starts at a time.
func NewGaps(at time.Duration, backends []BackendFigures) *Gaps {
	gaps := &Gaps{
		last:    map[string]int64{},
		since:   map[string]time.Duration{},
		fastest: map[string]float64{},
	}
	for _, backend := range backends {
		gaps.last[backend.Name] = backend.Starts
		gaps.since[backend.Name] = at
		gaps.fastest[backend.Group] = max(gaps.fastest[backend.Group], backend.Speed)
	}
	return gaps
}

// Note takes in the counters at a later time.
func (g *Gaps) Note(at time.Duration, backends []BackendFigures) {
	for _, backend := range backends {
		if backend.Speed < g.fastest[backend.Group] {
			continue
		}
		if gap := at - g.since[backend.Name]; gap > g.longest {
			g.longest, g.name = gap, backend.Name
		}
		if backend.Starts > g.last[backend.Name] {
			g.last[backend.Name] = backend.Starts
			g.since[backend.Name] = at
		}
	}
}

// Longest returns the longest gap and the back end that had it.
func (g *Gaps) Longest() (gap time.Duration, name string) {
	return g.longest, g.name
}
