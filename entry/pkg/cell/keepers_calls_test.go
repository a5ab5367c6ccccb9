package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simCall is an open call of a home to a keeper. The caller may wait at another host, the front, whose job the home has
// forwarded.
type simCall struct {
	number      int64
	keeper      *simKeeper
	home, front string
	job         *Job
}

// simReport is a home's report of its open calls on the way to a keeper.
type simReport struct {
	HomeReport
	keeper *simKeeper
	at     time.Time // when it arrives
}

// simCalls are the open calls of homes; their reports come late or are lost.
type simCalls struct {
	open        []*simCall
	last        int64
	front       string
	fronts      int
	frontFailed map[string]time.Time
	reports     []simReport
	delay       time.Duration
	lost        bool
}

// openCall gives a part of the requests a call that the home reports, some of them on behalf of the front.
func (d *simDomain) openCall(q *request) {
	q.call = nil
	kind := rapid.SampledFrom([]string{"unreported", "own", "forwarded"}).Draw(d.t, "call")
	if kind == "unreported" {
		return
	}
	d.calls.last++
	q.call = &simCall{number: d.calls.last, keeper: q.keeper, home: q.home, job: q.job}
	if kind == "forwarded" {
		q.call.front = d.calls.front
	}
	q.job.Call, q.job.SentAt, q.job.WantedAt = q.call.number, d.now, d.now
	d.calls.open = append(d.calls.open, q.call)
}

// closeCall drops the request's call from the reports.
func (d *simDomain) closeCall(call *simCall) {
	d.calls.open = slices.DeleteFunc(d.calls.open, func(open *simCall) bool { return open == call })
}

// isCancellationLost reports whether the cancellation of a call does not reach its keeper.
func (d *simDomain) isCancellationLost() bool {
	return rapid.IntRange(0, 2).Draw(d.t, "lost cancellation") == 0
}

// isFrontLost reports whether the host at which the request's caller waits has failed, beside the home.
func (d *simDomain) isFrontLost(q *request) bool {
	return q.call != nil && q.call.front != "" && q.call.front != d.calls.front
}

// failFront fails the host from which homes forward jobs; another one takes the later ones.
func (d *simDomain) failFront() {
	d.calls.frontFailed[d.calls.front] = d.now
	d.calls.fronts++
	d.calls.front = fmt.Sprintf("front-%d", d.calls.fronts)
}

// disturbReports changes how late reports arrive, if they do.
func (d *simDomain) disturbReports() {
	d.calls.delay = time.Duration(rapid.IntRange(0, 400).Draw(d.t, "delay of reports")) * time.Millisecond
	d.calls.lost = rapid.IntRange(0, 3).Draw(d.t, "lost reports") == 0
}

// reportCalls has the home suspect failed fronts, report its open calls, and the keepers read what has arrived.
func (d *simDomain) reportCalls() {
	for _, call := range slices.Clone(d.calls.open) {
		failed, known := d.calls.frontFailed[call.front]
		if known && d.now.Sub(failed) > failAfter && call.home == d.home {
			d.closeCall(call)
			if d.isReached(call.keeper) && !d.isCancellationLost() {
				effects := call.keeper.cell.Cancel(call.job, "the caller's host is gone", d.now)
				call.keeper.applyEffects(&effects)
			}
		}
	}
	if !d.calls.lost && d.now.UnixMilli()%100 < step.Milliseconds() {
		for _, k := range d.keepers {
			if k.partitionedSince.IsZero() {
				d.calls.reports = append(d.calls.reports, simReport{HomeReport: d.homeReport(k), keeper: k, at: d.now.Add(d.calls.delay)})
			}
		}
	}
	d.calls.reports = slices.DeleteFunc(d.calls.reports, func(report simReport) bool {
		if report.keeper.failed || report.at.After(d.now) || !report.keeper.isRunning(d.now) {
			return report.keeper.failed
		}
		effects := report.keeper.cell.HandleHomeReport(&report.HomeReport, d.now)
		report.keeper.applyEffects(&effects)
		return true
	})
}

// homeReport lists the home's open calls to the keeper.
func (d *simDomain) homeReport(k *simKeeper) HomeReport {
	report := HomeReport{Home: d.home, Incarnation: "incarnation", Sent: d.now, WantedAt: map[int64]time.Time{}}
	for _, call := range d.calls.open {
		if call.keeper != k || call.home != d.home {
			continue
		}
		report.WantedAt[call.number] = d.now
		if failed, known := d.calls.frontFailed[call.front]; known {
			report.WantedAt[call.number] = failed
		}
	}
	return report
}

// TestRandomisedCalls is TestRandomisedKeepers with those faults alone that calls, their reports and cancellations meet, so that
// more of its long jobs meet them.
func TestRandomisedCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newSimDomain(t)
		d.keepers = slices.DeleteFunc(d.keepers, func(k *simKeeper) bool { return !k.isKeeper })
		for range rapid.IntRange(5, 20).Draw(t, "steps") {
			k := d.keepers[rapid.IntRange(0, cells-1).Draw(t, "acting keeper")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				q := &request{id: fmt.Sprintf("j%04d", len(d.requests)), tasks: 1, length: 3 * time.Second, deadline: d.now.Add(9 * time.Second)}
				d.requests = append(d.requests, q)
				d.send(q)
			case 2:
				d.failFront()
			case 3:
				d.disturbReports()
			case 4:
				sim := d.workers[d.someWorker()]
				sim.ignoresStops = !sim.ignoresStops
			default:
				k.partitionedSince = time.Time{}
				if rapid.Bool().Draw(t, "partition") {
					k.partitionedSince = d.now
				}
			}
			d.pass(time.Duration(rapid.IntRange(100, 900).Draw(t, "pass")) * time.Millisecond)
		}
		d.settle()
	})
}
