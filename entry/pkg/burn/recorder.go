package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
)

// Recorder counts the answers of this host against the objectives in force and is safe for concurrent use.
type Recorder struct {
	host    string
	clock   clockwork.Clock
	inForce func() *configuration.State
	started time.Time

	mutex  sync.Mutex
	state  *configuration.State // that owners was made from
	owners map[string][]*series
}

// Target is the service or the pool that an answer came from.
type Target struct {
	Service string
	Pool    string
}

// New returns a recorder whose figures count from now; inForce returns the accepted configuration, the same value until it changes.
func New(host string, clock clockwork.Clock, inForce func() *configuration.State) *Recorder {
	return &Recorder{host: host, clock: clock, inForce: inForce, started: clock.Now(), owners: map[string][]*series{}}
}

// refresh takes over the objectives in force; an unchanged one keeps its figures, a changed one begins anew.
func (r *Recorder) refresh(now time.Time) {
	state := r.inForce()
	if state == r.state {
		return
	}
	r.state = state
	owners := make(map[string][]*series, len(state.Owners))
	for name, accepted := range state.Owners {
		for _, objective := range accepted.Document.Objectives {
			owners[name] = append(owners[name], r.seriesOf(name, objective, now))
		}
	}
	r.owners = owners
}

// Record counts an answer that took so long against the owner's objectives for the targets.
func (r *Recorder) Record(owner string, targets []Target, answer *api.Answer, took time.Duration) {
	if !counted(answer) {
		return
	}
	now := r.clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refresh(now)
	for _, one := range r.owners[owner] {
		target := Target{Service: one.objective.Service, Pool: one.objective.Pool}
		if slices.Contains(targets, target) {
			one.add(now, answer.State == api.StateComplete, took)
		}
	}
}

// Report returns the burn of the owner's objectives, or of all owners' for an empty name.
func (r *Recorder) Report(owner string) *api.BurnReport {
	now := r.clock.Now()
	report := &api.BurnReport{Hosts: []string{r.host}, Time: now, Since: r.started, Objectives: []api.BurnObjective{}}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refresh(now)
	for name, all := range r.owners {
		if owner != "" && owner != name {
			continue
		}
		for _, one := range all {
			report.Objectives = append(report.Objectives, one.report(name, now))
		}
	}
	slices.SortFunc(report.Objectives, func(a, b api.BurnObjective) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Name, b.Name))
	})
	return report
}

// seriesOf returns the series that counts the objective already, or a new one.
func (r *Recorder) seriesOf(owner string, objective configuration.Objective, now time.Time) *series {
	for _, one := range r.owners[owner] {
		if one.objective == objective {
			return one
		}
	}
	return newSeries(objective, now)
}

// counted reports whether an answer counts as good or bad: a caller's own mistake, quota or cancellation and a planned stop are neither.
func counted(answer *api.Answer) bool {
	if answer.State == api.StateComplete {
		return true
	}
	switch answer.Code {
	case api.CodeOverload, api.CodeUnavailable, api.CodeExpired, api.CodeTaskFailed,
		api.CodeTaskUnknown, api.CodeHomeLost, api.CodeInternal:
		return true
	default:
		return false
	}
}
