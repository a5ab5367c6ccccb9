package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endWorker ends the worker's process and has the keeper see it: by a refused connection, or by the next incarnation.
func (h *harness) endWorker(worker *Worker, evidence CrashEvidence) []CrashedWorker {
	sim := h.workers[worker.ID]
	sim.restart(h.now)
	if evidence == ConnectionRefused {
		sim.down = true
		h.cell.MarkUnresponsive(worker)
		effects := h.cell.HandleCrash(worker, evidence, h.now)
		h.applyEffects(&effects)
		return effects.Crashes
	}
	effects := h.cell.HandleRestart(worker, sim.hold(0, 0, h.now), h.now)
	h.applyEffects(&effects)
	return effects.Crashes
}

// update applies a directory entry that says of the worker what the cell knows, and whether it leaves.
func (h *harness) update(worker *Worker, leaving bool) {
	effects, _ := h.cell.Update(worker, &Worker{
		ID: worker.ID, FailureDomain: worker.FailureDomain, Kind: worker.Kind, Group: worker.Group, Capacity: worker.Capacity, Leaving: leaving,
	}, h.now)
	h.applyEffects(&effects)
}

// TestJobIsNotFailedByWorkersThatLeaveAsAnnounced guards against a job that is called failed, though none of its runs has
// failed and no worker has crashed: the workers of its task have left one after the other, as planned.
func TestJobIsNotFailedByWorkersThatLeaveAsAnnounced(t *testing.T) {
	announce := map[string]func(h *harness, worker *Worker){
		"draining":                         func(h *harness, worker *Worker) { h.update(worker, true) },
		"draining while being handed over": func(h *harness, worker *Worker) { h.cell.SetLeaving(worker, true) },
		"the entry of the next incarnation is read first": func(h *harness, worker *Worker) {
			h.update(worker, true)
			h.update(worker, false)
		},
		"evacuated": func(h *harness, worker *Worker) {
			effects := h.cell.SetEvacuated([]string{worker.FailureDomain}, h.now)
			h.applyEffects(&effects)
		},
	}
	for name, announces := range announce {
		for _, evidence := range []CrashEvidence{ConnectionRefused, AnotherIncarnation} {
			t.Run(name+", "+string(evidence), func(t *testing.T) {
				h := newHarness(t)
				for _, domain := range []string{"a", "b", "c"} {
					h.domain = domain
					h.addWorkers(1, 16, 1)
				}
				h.pass(200 * time.Millisecond) // until the workers' clocks are known
				job := h.job(1, 5, 3*time.Second, veryLong, veryLong)
				h.submit(job)
				for range 2 {
					worker := job.Tasks[0].run.Worker
					announces(h, worker)
					ended := h.endWorker(worker, evidence)
					require.Equal(t, []CrashedWorker{{Worker: worker.ID, Evidence: evidence, Left: true, Tasks: []string{"j0001.0"}}}, ended)
					require.Zero(t, job.Tasks[0].crashes)
					require.False(t, job.Tasks[0].mustRunAlone())
					h.pass(1200 * time.Millisecond) // until the lease has lapsed
					require.NotNil(t, job.Tasks[0].run)
				}
				h.pass(4 * time.Second)
				require.Equal(t, "completed", h.outcome(job))
				require.Equal(t, 3, job.Tasks[0].runs)
			})
		}
	}
}

// TestSilentWorkerThatLeftAsAnnouncedHasNotCrashed guards against a crash that is inferred from the next incarnation of a
// worker that left: its runs had lapsed in silence, or their start had no result yet.
func TestSilentWorkerThatLeftAsAnnouncedHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond) // until the workers' clocks are known
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	h.submit(job)
	worker := job.Tasks[0].run.Worker
	h.update(worker, true)
	sim := h.workers[worker.ID]
	sim.unresponsive = true
	h.pass(1500 * time.Millisecond)
	require.Equal(t, "lapsed", job.Diagnostics.EndedRuns[0].Result)
	sim.restart(h.now)
	sim.unresponsive = false
	h.update(worker, false)
	h.pass(300 * time.Millisecond)
	require.Zero(t, job.Tasks[0].crashes)

	second := h.job(1, 5, time.Second, veryLong, veryLong)
	effects := h.cell.Submit(second, h.now)
	run := effects.Starts[0].Run
	h.update(run.Worker, true)
	h.endWorker(run.Worker, ConnectionRefused)
	h.cell.HandleStartResult(run, StartAccepted, h.now)
	require.Zero(t, second.Tasks[0].crashes)
	h.pass(1500 * time.Millisecond)
	require.Equal(t, "left", second.Diagnostics.EndedRuns[0].Result)
}

// TestCrashOfAWorkerThatIsHandedOverCounts guards against a task that crashes worker after worker and is not given up, since
// its keeper was giving the workers to another one, or since an earlier incarnation had announced that it leaves.
func TestCrashOfAWorkerThatIsHandedOverCounts(t *testing.T) {
	for name, prepare := range map[string]func(h *harness, worker *Worker){
		"handed over": func(h *harness, worker *Worker) { h.cell.SetReleasing(worker, true) },
		"an earlier incarnation left": func(h *harness, worker *Worker) {
			h.update(worker, true)
			h.endWorker(worker, AnotherIncarnation)
			h.update(worker, false)
			h.hold(worker.ID)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorkers(1, 16, 1)
			h.pass(200 * time.Millisecond) // until the worker's clock is known
			worker := h.cell.Worker("w00")
			job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
			if name == "handed over" {
				h.submit(job)
				prepare(h, worker)
			} else {
				prepare(h, worker)
				h.submit(job)
			}
			require.NotNil(t, job.Tasks[0].run)
			require.False(t, h.endWorker(worker, ConnectionRefused)[0].Left)
			require.Equal(t, Crashes{Confirmed: 1, All: 1}, job.Tasks[0].crashes)
		})
	}
}

// TestWorkerIsUsedAgainWhenItsHandoverIsCalledOff guards against a worker that gets no work although its keeper keeps it.
func TestWorkerIsUsedAgainWhenItsHandoverIsCalledOff(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	worker := h.cell.Worker("w00")
	h.cell.SetReleasing(worker, true)
	require.False(t, worker.usable(h.now))
	h.update(worker, false)
	require.True(t, worker.usable(h.now))
}

// TestJobIsNotFailedByWorkersWhoseNoticeCouldNotBeRead guards against a job that is called failed since two workers of its
// task have left, as they had announced while this host could not read the directory.
func TestJobIsNotFailedByWorkersWhoseNoticeCouldNotBeRead(t *testing.T) {
	const notice = 2 * time.Second
	for age, want := range map[time.Duration]Crashes{
		notice - step: {Confirmed: 2, Alone: 1, All: 2},
		notice + step: {All: 2},
	} {
		h := newHarness(t)
		h.cell.limits.LeaveNotice = notice
		h.addWorkers(3, 16, 1)
		h.pass(200 * time.Millisecond) // until the workers' clocks are known
		job := h.job(1, 5, 3*time.Second, veryLong, veryLong)
		h.submit(job)
		for range 2 {
			h.cell.SetDirectoryRead(h.now.Add(-age))
			h.endWorker(job.Tasks[0].run.Worker, ConnectionRefused)
			h.pass(1200 * time.Millisecond) // until the lease has lapsed
		}
		require.Equal(t, want, job.Tasks[0].crashes)
		require.Equal(t, want.Confirmed > 0, h.outcome(job) == "failed")
	}
}
