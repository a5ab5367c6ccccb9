package configuration

import "maps"

// Delta is what changed between two states; peers exchange it in place of whole states.
type Delta struct {
	From        int64                `json:"from"` // every change from this offset on is in it
	Next        int64                `json:"next"` // the state's Next after it
	Owners      map[string]*Accepted `json:"owners,omitempty"`
	Rejections  []Rejection          `json:"rejections,omitempty"`
	Evacuations []*Evacuation        `json:"evacuations,omitempty"`
}

// Since returns what changed from the offset on.
func (s *State) Since(from int64) *Delta {
	delta := &Delta{From: from, Next: s.Next, Owners: map[string]*Accepted{}}
	for name, accepted := range s.Owners {
		if accepted.Offset >= from {
			delta.Owners[name] = accepted
		}
	}
	for _, rejection := range s.Rejections {
		if rejection.Offset >= from {
			delta.Rejections = append(delta.Rejections, rejection)
		}
	}
	for _, evacuation := range s.Evacuations {
		if evacuation.Offset >= from {
			delta.Evacuations = append(delta.Evacuations, evacuation)
		}
	}
	return delta
}

// Merge returns the state with the delta's changes, or the same state when the delta brings nothing or leaves a gap.
func (s *State) Merge(delta *Delta) *State {
	if delta.Next <= s.Next || delta.From > s.Next {
		return s
	}
	merged := &State{Next: delta.Next, Owners: maps.Clone(s.Owners), Rejections: s.Rejections, Evacuations: s.Evacuations}
	maps.Copy(merged.Owners, delta.Owners)
	for _, rejection := range delta.Rejections {
		if rejection.Offset >= s.Next {
			merged.Rejections = append(lastRejections(merged.Rejections, maxRejections-1), rejection)
		}
	}
	for _, evacuation := range delta.Evacuations {
		merged.setEvacuation(evacuation)
	}
	return merged
}
