package cell

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

// lateStart is a start whose answer was lost and that takes effect later.
type lateStart struct {
	start       Start
	at          time.Time
	incarnation int64
	token       int64
	capacity    Resources // the most that the cell was told of the worker since
}

func (h *harness) deliverLateStarts() {
	h.late = slices.DeleteFunc(h.late, func(late lateStart) bool {
		if late.at.After(h.now) {
			return false
		}
		// A worker that has restarted since rejects the start from the first call on after which a keeper with its token, or
		// a later keeper, knows of the restart. What it does before is not guaranteed.
		sim := h.workers[late.start.Run.Worker.ID]
		if !sim.down && (sim.incarnation == late.incarnation || sim.holder >= late.token) {
			h.deliverStart(late.start, late.token, late.capacity)
		}
		return true
	})
}

// checkEnds checks that no run is left when the caller of its answered job may resubmit it, less the margin in endBound.
func (h *harness) checkEnds() {
	for id, sim := range h.workers {
		for key := range sim.running {
			job := h.runs[key]
			if job == nil || !job.Decided() {
				continue
			}
			if since, resubmits := h.resubmitsSince(job); resubmits {
				require.Less(h.t, h.now.Sub(since), endBound, "run %v of a job that was answered (%s) is still at %s", key, job.answer.Reason, id)
			}
		}
	}
}

// resubmitsSince returns from when the caller of an answered job counts the delay before it resubmits the job, and whether
// it does: that of a failed job does so only if the home is lost, which may not have passed the answer on.
func (h *harness) resubmitsSince(job *Job) (since time.Time, resubmits bool) {
	if job.answer.Outcome != Failed {
		return job.answeredAt, true
	}
	since, resubmits = h.silentHomes[job.Home]
	return since, resubmits
}
