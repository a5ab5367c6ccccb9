package configuration

import (
	"fmt"
	"maps"
	"slices"
)

// IsEvacuated reports whether the failure domain's endpoints and workers get nothing new.
func (s *State) IsEvacuated(domain string) bool {
	evacuation, ok := s.Evacuations[domain]
	return ok && evacuation.Evacuated
}

// EvacuatedDomains returns the evacuated failure domains in order.
func (s *State) EvacuatedDomains() []string {
	var domains []string
	for domain, evacuation := range s.Evacuations {
		if evacuation.Evacuated {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// evacuationRefusal returns why the record changes nothing, or "".
func (s *State) evacuationRefusal(record *Record) string {
	switch {
	case record.Domain == "":
		return "the record names no failure domain"
	case record.Evacuated && s.IsEvacuated(record.Domain):
		return fmt.Sprintf("failure domain %q is evacuated already, by %s", record.Domain, s.Evacuations[record.Domain].Author)
	case !record.Evacuated && !s.IsEvacuated(record.Domain):
		return fmt.Sprintf("failure domain %q is not evacuated", record.Domain)
	default:
		return ""
	}
}

// evacuate stores the change of an accepted record.
func (s *State) evacuate(record *Record, offset int64) *Evacuation {
	change := &Evacuation{
		Domain:    record.Domain,
		Evacuated: record.Evacuated,
		Offset:    offset,
		Publish:   record.Publish,
		Author:    record.Author,
	}
	s.setEvacuation(change)
	return change
}

// setEvacuation replaces the domain's last change in a copy of the map, which older states share.
func (s *State) setEvacuation(change *Evacuation) {
	changes := make(map[string]*Evacuation, len(s.Evacuations)+1)
	maps.Copy(changes, s.Evacuations)
	changes[change.Domain] = change
	s.Evacuations = changes
}
