package configuration

import (
	"fmt"
	"regexp"
	"strings"
)

// Finding is a part of a valid document that can have no effect or contradicts another part.
type Finding struct {
	Pointer string `json:"pointer"` // JSON pointer (RFC 6901)
	Problem string `json:"problem"`
}

// Lint returns what is valid but can hardly be meant, in the order of the document's fields.
func (d *Document) Lint() []Finding {
	var found findings
	d.lintQuota(&found)
	d.lintTokens(&found)
	d.lintPlaces(&found)
	for i := range d.Services {
		service := &d.Services[i]
		d.lintBackends(&found, fmt.Sprintf("/services/%d", i), service.Places, limits{service.Deadline, service.Timeout})
	}
	for i := range d.Pools {
		pool := &d.Pools[i]
		d.lintBackends(&found, fmt.Sprintf("/pools/%d", i), pool.Places, limits{pool.Deadline, pool.Timeout})
	}
	d.lintObjectives(&found)
	return found
}

type findings []Finding

func (f *findings) add(pointer, format string, arguments ...any) {
	*f = append(*f, Finding{Pointer: pointer, Problem: fmt.Sprintf(format, arguments...)})
}

func (d *Document) lintQuota(found *findings) {
	if d.Quota.Queued > 0 && d.Quota.Running > d.Quota.Queued {
		found.add("/quota/running", "running %d is more than queued %d, so that it is never reached", d.Quota.Running, d.Quota.Queued)
	}
}

func (d *Document) lintTokens(found *findings) {
	names := map[string]string{}
	for i, token := range d.Tokens {
		if first, ok := names[token.Hash]; ok {
			found.add(fmt.Sprintf("/tokens/%d/hash", i), "token %q never matches, as %q has the same hash", token.Name, first)
			continue
		}
		names[token.Hash] = token.Name
	}
}

func (d *Document) lintPlaces(found *findings) {
	used := map[string]bool{}
	everywhere := len(d.Services)+len(d.Pools) == 0
	for i := range d.Services {
		everywhere = markPlaces(d.Services[i].Places, used) || everywhere
	}
	for i := range d.Pools {
		everywhere = markPlaces(d.Pools[i].Places, used) || everywhere
	}
	domains := map[string]string{}
	for i, place := range d.Places {
		if first, ok := domains[place.Domain]; ok {
			found.add(fmt.Sprintf("/places/%d/domain", i), "place %q is the same failure domain as %q", place.Name, first)
		}
		domains[place.Domain] = place.Name
		if !used[place.Name] && !everywhere {
			found.add(fmt.Sprintf("/places/%d", i), "no service and no pool uses place %q", place.Name)
		}
	}
}

// markPlaces marks the places that are named; it returns true if none is, which means all.
func markPlaces(names []string, used map[string]bool) (all bool) {
	for _, name := range names {
		used[name] = true
	}
	return len(names) == 0
}

func (d *Document) lintBackends(found *findings, pointer string, places []string, limits limits) {
	seen := map[string]bool{}
	for i, name := range places {
		if seen[name] {
			found.add(fmt.Sprintf("%s/places/%d", pointer, i), "place %q is named twice", name)
		}
		seen[name] = true
	}
	if limits.deadline > 0 && limits.timeout > limits.deadline {
		found.add(pointer+"/timeout", "timeout %s is after the deadline %s, so that it is never reached", limits.timeout.Std(), limits.deadline.Std())
	}
}

func (d *Document) lintObjectives(found *findings) {
	for i := range d.Objectives {
		objective := &d.Objectives[i]
		limits := d.limitsOf(objective)
		pointer := fmt.Sprintf("/objectives/%d/latency", i)
		switch {
		case objective.Latency == 0:
		case limits.deadline > 0 && objective.Latency > limits.deadline:
			found.add(pointer, "latency %s is after the deadline %s, so that each answer is good", objective.Latency.Std(), limits.deadline.Std())
		case limits.timeout > 0 && objective.Latency > limits.timeout:
			found.add(pointer, "latency %s is after the timeout %s of one try", objective.Latency.Std(), limits.timeout.Std())
		}
	}
}

// fieldName is the field that a message of Check begins with.
var fieldName = regexp.MustCompile(`^[a-z]+(?:\[\d+\])?(?:\.[a-z]+)*`)

// FieldPointer returns the JSON pointer of the field that a message of Check begins with.
func FieldPointer(message string) string {
	name := strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(fieldName.FindString(message))
	return "/" + name
}
