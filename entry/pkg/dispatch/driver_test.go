package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/admission"
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/estimate"
	"chervilusher.dev/entry/pkg/health"
	"chervilusher.dev/entry/pkg/placement"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

const (
	groupName  = "desk"
	longFrom   = 2 * time.Second
	longShare  = 0.5
	retryShare = 0.1
	ejectShare = 0.5
	tickEvery  = 20 * time.Millisecond
)

var (
	epoch           = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	referenceSpeeds = []float64{0.5, 0.7, 1, 1, 1.4, 2}
)

// fakeEndpoint is a simulated endpoint.
type fakeEndpoint struct {
	speed  float64
	broken bool // fails every task immediately
}

// driver runs an engine against simulated back ends in virtual time.
type driver struct {
	engine     *dispatch.Engine
	board      *blackboard.Dispatch
	now        time.Time
	events     eventHeap
	serial     int
	random     *rand.Rand
	endpoints  map[string]*fakeEndpoint
	workOf     map[*blackboard.Task]time.Duration // run time of each task at speed 1
	starts     map[string]int
	results    []result
	refused    []refusal
	ends       []taskEnd
	inDeadline map[*blackboard.Job]bool // completed before the deadline
}

// taskEnd is a task that ran to completion.
type taskEnd struct {
	job  *blackboard.Job
	from time.Duration // since the epoch
	at   time.Duration
	work time.Duration
}

// workIn returns the part of the task's work done in the given interval, in seconds at speed 1.
func (e *taskEnd) workIn(from, until time.Duration) float64 {
	overlap := min(e.at, until) - max(e.from, from)
	if overlap <= 0 {
		return 0
	}
	return e.work.Seconds() * float64(overlap) / float64(e.at-e.from)
}

// result is a job that ended.
type result struct {
	account    string
	kind       string
	urgent     bool
	arrived    time.Duration // since the epoch
	took       time.Duration
	ratio      float64 // response time relative to the longest task's ideal run time
	work       time.Duration
	complete   bool
	inDeadline bool // ended before the deadline
}

type refusal struct {
	arrived time.Duration
	retry   time.Duration
}

type event struct {
	at   time.Time
	rank int
	run  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].rank < h[j].rank
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fleet describes the simulated back ends of a driver.
type fleet struct {
	endpoints int
	slots     int
	broken    int // how many of them fail every task immediately
}

// referenceFleet is the whole fleet behind one queue; hostFleet is one entry host's fixed share of it.
var (
	referenceFleet = fleet{endpoints: 48, slots: 8}
	hostFleet      = fleet{endpoints: 16, slots: 4}
)

// policies selects the policies of a driver; empty values select the daemon's defaults.
type policies struct {
	placement string
	admission string
	queue     string
	share     float64
	memory    int64 // zero is no bound
}

func newDriver(seed uint64, fleet fleet, chosen policies) *driver {
	board := &blackboard.Dispatch{
		Groups:   map[string]*blackboard.Group{},
		Accounts: map[string]*blackboard.Account{},
	}
	random := rand.New(rand.NewPCG(seed, 1))
	d := &driver{
		board:      board,
		now:        epoch,
		random:     random,
		endpoints:  map[string]*fakeEndpoint{},
		workOf:     map[*blackboard.Task]time.Duration{},
		starts:     map[string]int{},
		inDeadline: map[*blackboard.Job]bool{},
	}
	limits := dispatch.Limits{LongAfter: longFrom, LongShare: longShare, Memory: chosen.memory}
	if chosen.share > 0 {
		limits.LongShare = chosen.share
	}
	d.engine = dispatch.New(board, buildPolicies(chosen, random), limits)
	group := d.engine.Group(groupName)
	for i := range fleet.endpoints {
		name := fmt.Sprintf("minion-%04d", i)
		d.endpoints[name] = &fakeEndpoint{speed: referenceSpeeds[i%len(referenceSpeeds)], broken: i < fleet.broken}
		group.Backends[name] = &blackboard.Backend{
			Name: name, FailureDomain: fmt.Sprintf("domain-%d", i%3), Role: platform.RoleMinion,
			Slots: fleet.slots, Granted: fleet.slots,
		}
	}
	d.after(tickEvery, d.tick)
	return d
}

func buildPolicies(chosen policies, random *rand.Rand) dispatch.Policies {
	built := dispatch.Policies{
		Placement: placement.NewFastest(),
		Admission: admission.NewPredictive(random),
		Estimator: estimate.New(longFrom),
		Health:    health.New(retryShare, ejectShare),
		NewQueue: func(accounts map[string]*blackboard.Account) blackboard.Queue {
			if chosen.queue == "single" {
				return queue.NewFIFO()
			}
			return queue.NewFair(accounts)
		},
	}
	switch chosen.placement {
	case "random":
		built.Placement = placement.NewRandom(random)
	case "robin":
		built.Placement = placement.NewRoundRobin()
	case "least":
		built.Placement = placement.NewLeastBusy()
	}
	if chosen.admission == "none" {
		built.Admission = admission.NewNone()
	}
	return built
}

func (d *driver) addAccount(name string, weight int) {
	d.board.Accounts[name] = &blackboard.Account{Name: name, Weight: weight, MaxWait: 1 << 30}
}

func (d *driver) after(delay time.Duration, run func()) {
	d.serial++
	heap.Push(&d.events, event{at: d.now.Add(delay), rank: d.serial, run: run})
}

// runUntil runs the events up to the given time since the epoch.
func (d *driver) runUntil(end time.Duration) {
	for len(d.events) > 0 && !d.events[0].at.After(epoch.Add(end)) {
		next := heap.Pop(&d.events).(event)
		d.now = next.at
		next.run()
	}
	d.now = epoch.Add(end)
}

func (d *driver) tick() {
	d.apply(d.engine.Tick(d.now))
	d.after(tickEvery, d.tick)
}

// work describes a job to submit.
type work struct {
	account    string
	kind       string
	urgent     bool
	idempotent bool
	deadline   time.Duration
	declared   time.Duration
	tasks      []time.Duration // run times at speed 1
}

func (d *driver) submit(w work) *blackboard.Job {
	d.serial++
	job := &blackboard.Job{
		ID: fmt.Sprintf("job-%d", d.serial), Account: w.account, Urgent: w.urgent, Idempotent: w.idempotent,
		Accepted: d.now, Deadline: d.now.Add(w.deadline), Remaining: len(w.tasks), Done: make(chan struct{}),
	}
	target := &blackboard.Target{Group: groupName, Role: platform.RoleMinion, Timeout: time.Minute}
	for i, amount := range w.tasks {
		task := &blackboard.Task{Job: job, Index: i, Kind: w.kind, Target: target, Declared: w.declared}
		job.Tasks = append(job.Tasks, task)
		d.workOf[task] = amount
	}
	effects, refused := d.engine.Submit(job, d.now)
	if refused != nil {
		d.refused = append(d.refused, refusal{arrived: d.now.Sub(epoch), retry: refused.RetryAfter})
		return nil
	}
	d.apply(effects)
	return job
}

func (d *driver) apply(effects dispatch.Effects) {
	for _, start := range effects.Starts {
		d.starts[start.Backend.Name]++
		fake := d.endpoints[start.Backend.Name]
		took := time.Duration(float64(d.workOf[start.Task]) / fake.speed)
		outcome := dispatch.Outcome{Verdict: dispatch.VerdictDone}
		if fake.broken {
			took, outcome.Verdict = time.Millisecond, dispatch.VerdictFailed
		}
		d.after(took, func() { d.finish(start, outcome) })
	}
}

func (d *driver) finish(start dispatch.Start, outcome dispatch.Outcome) {
	job := start.Task.Job
	decided := job.Decided()
	if outcome.Verdict == dispatch.VerdictDone {
		d.ends = append(d.ends, taskEnd{job: job, from: start.Task.Started.Sub(epoch), at: d.now.Sub(epoch), work: d.workOf[start.Task]})
	}
	effects, _ := d.engine.Finish(start.Task, start.Attempt, outcome, d.now)
	if !decided && job.Decided() {
		d.record(job)
	}
	d.apply(effects)
}

func (d *driver) record(job *blackboard.Job) {
	longest := time.Duration(0)
	total := time.Duration(0)
	for _, task := range job.Tasks {
		longest = max(longest, d.workOf[task])
		total += d.workOf[task]
	}
	for _, task := range job.Tasks {
		delete(d.workOf, task)
	}
	took := d.now.Sub(job.Accepted)
	d.inDeadline[job] = job.Answer.State == api.StateComplete && !d.now.After(job.Deadline)
	d.results = append(d.results, result{
		account: job.Account, kind: job.Tasks[0].Kind, urgent: job.Urgent, arrived: job.Accepted.Sub(epoch), took: took,
		ratio: float64(took) / float64(longest), work: total,
		complete: job.Answer.State == api.StateComplete, inDeadline: !d.now.After(job.Deadline),
	})
}

// stream submits jobs with exponential gaps at a rate that may vary with time.
func (d *driver) stream(perSecond func(at time.Duration) float64, next func() work) {
	rate := perSecond(d.now.Sub(epoch))
	gap := time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
	d.after(gap, func() {
		d.submit(next())
		d.stream(perSecond, next)
	})
}

// arrivals calls next with exponential gaps.
func (d *driver) arrivals(perSecond float64, next func()) {
	gap := time.Duration(d.random.ExpFloat64() / perSecond * float64(time.Second))
	d.after(gap, func() {
		next()
		d.arrivals(perSecond, next)
	})
}

func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// capacity returns the fleet's work per second, in seconds at speed 1.
func (d *driver) capacity() float64 {
	sum := 0.0
	for name, fake := range d.endpoints {
		if !fake.broken {
			sum += fake.speed * float64(d.engine.Group(groupName).Backends[name].Slots)
		}
	}
	return sum
}

func (d *driver) started() int {
	sum := 0
	for _, count := range d.starts {
		sum += count
	}
	return sum
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// meanWork is the mean run time of referenceWork, in seconds.
const meanWork = 0.003*30 + 0.097*4 + 0.9*0.525

// referenceWork draws a kind and a run time at speed 1 from the reference mix.
func referenceWork(random *rand.Rand) (kind string, amount time.Duration) {
	switch draw := random.Float64(); {
	case draw < 0.003:
		return "straggler", between(random, 20*time.Second, 40*time.Second)
	case draw < 0.1:
		return "long", between(random, 2*time.Second, 6*time.Second)
	default:
		return "short", between(random, 50*time.Millisecond, time.Second)
	}
}

func (d *driver) referenceStream(load float64, account string, deadline time.Duration) {
	d.stream(constantRate(load*d.capacity()/meanWork), func() work {
		kind, amount := referenceWork(d.random)
		return work{account: account, kind: kind, deadline: deadline, declared: time.Second, tasks: []time.Duration{amount}}
	})
}

// percentile returns the value below which the given share of values lies.
func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

// ratios returns the response times relative to ideal of the jobs that arrived in the given interval
// and pass the filter.
func (d *driver) ratios(from, until time.Duration, keep func(r *result) bool) []float64 {
	var values []float64
	for i := range d.results {
		r := &d.results[i]
		if r.arrived >= from && r.arrived < until && (keep == nil || keep(r)) {
			values = append(values, r.ratio)
		}
	}
	return values
}
