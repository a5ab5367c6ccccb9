package lending

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/estimate"
	"chervilusher.dev/entry/pkg/health"
	"chervilusher.dev/entry/pkg/keeper"
	"chervilusher.dev/entry/pkg/placement"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// Figures of the reference fleet.
const (
	fleetPlaces   = 3
	fleetMinions  = 48
	fleetSlots    = 8
	withinPlace   = 100 * time.Microsecond // one way
	betweenPlaces = 500 * time.Microsecond // one way
	roundTrips    = 7 * time.Millisecond   // of the caller and the minion, which the ideal has too
	meanWork      = 0.9505                 // seconds
	fleetScale    = 1.1                    // mean speed: hosts learn slowness against the mean of the group
)

var fleetSpeeds = []float64{0.5, 0.7, 1, 1, 1.4, 2}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet joins the real engines, keepers and borrowers of several hosts by messages with a delay, on a clock of its own.
type fleet struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Time
	events  events
	order   int
	hosts   []*fleetHost
	busy    map[string]int
	policy  string
	ratios  []float64
	started int
	failed  int // tasks that ended without an answer
	refused int // starts that the minion's own limit refused
	from    time.Time
	end     time.Time                // of the arrivals
	loss    float64                  // share of messages that are lost
	learns  bool                     // hosts learn the speeds and kinds from the runs
	used    map[string]time.Time     // last start of each minion
	gaps    map[string]time.Duration // longest time without a start of each minion, after the warm-up
}

type fleetHost struct {
	name     string
	place    string
	board    *blackboard.Board
	engine   *dispatch.Engine
	keeper   *Lender
	borrower *Borrower
	group    *blackboard.Group
}

// knownSpeed stands for an estimator that has learnt all speeds.
type knownSpeed struct{}

func (knownSpeed) Classify(*blackboard.Task)                                    {}
func (knownSpeed) Observe(*blackboard.Task, *blackboard.Backend, time.Duration) {}
func (knownSpeed) ObserveOverrun(*blackboard.Task, time.Duration)               {}
func (knownSpeed) Rescale(*blackboard.Group, float64)                           {}

func newFleet(t testing.TB, policy string, hosts int, seed int64, options Options, loan time.Duration) *fleet {
	return buildFleet(&fleet{t: t, policy: policy}, hosts, seed, options, loan)
}

func buildFleet(f *fleet, hosts int, seed int64, options Options, loan time.Duration) *fleet {
	f.random = rand.New(rand.NewSource(seed))
	f.now = time.Unix(0, 0)
	f.busy = map[string]int{}
	f.used = map[string]time.Time{}
	f.gaps = map[string]time.Duration{}
	members := &blackboard.MemberTable{ByName: map[string]blackboard.Member{}}
	for i := range hosts {
		name := fmt.Sprint("host", i)
		members.ByName[name] = blackboard.Member{Name: name, FailureDomain: fmt.Sprint("place", i%fleetPlaces), Size: 1, Alive: true}
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprint("host", i), fmt.Sprint("place", i%fleetPlaces), members, hosts, options, loan))
	}
	return f
}

func (f *fleet) newHost(name, place string, members *blackboard.MemberTable, hosts int, options Options, loan time.Duration) *fleetHost {
	host := &fleetHost{name: name, place: place, board: blackboard.New()}
	var estimator dispatch.Estimator = knownSpeed{}
	if f.learns {
		estimator = estimate.New(time.Hour)
	}
	host.engine = dispatch.New(&host.board.Dispatch, dispatch.Policies{
		Placement: placement.NewFastest(),
		Admission: admitAll{},
		Estimator: estimator,
		Health:    health.New(0.1, 0.5),
		NewQueue:  func(map[string]*blackboard.Account) blackboard.Queue { return queue.NewFIFO() },
	}, dispatch.Limits{LongAfter: time.Hour, LongShare: 1})
	host.board.Dispatch.Accounts["desk"] = &blackboard.Account{Name: "desk", Weight: 1, MaxWait: 1 << 30}
	host.group = host.engine.Group("minions")
	host.keeper = NewLender(loan, options.Margin, 0)
	options.Host = name
	options.Incarnation = name
	host.borrower = NewBorrower(&host.board.Dispatch, host.keeper, host.engine, options)
	var keeping []*blackboard.Backend
	for i := range fleetMinions {
		minion := &blackboard.Backend{
			Name: fmt.Sprint("minion", i), FailureDomain: fmt.Sprint("place", i%fleetPlaces), Group: "minions",
			Role: platform.RoleMinion, Slots: fleetSlots, SlownessRuns: 1000, Slowness: fleetScale / fleetSpeeds[(i/fleetPlaces)%len(fleetSpeeds)],
		}
		if f.learns {
			minion.SlownessRuns, minion.Slowness = 0, 0
		}
		host.group.Backends[minion.Name] = minion
		switch f.policy {
		case "central":
			minion.Granted = fleetSlots
		case "fixed":
			index := slices.Index([]string{"host0", "host1", "host2", "host3", "host4", "host5"}, name)
			minion.Granted = fleetSlots*(index+1)/hosts - fleetSlots*index/hosts
		case "shared":
			minion.Granted = fleetSlots
		}
		if keeper.Of(minion.Name, minion.FailureDomain, members) == name {
			keeping = append(keeping, minion)
		}
	}
	host.engine.Sync()
	host.keeper.Update(keeping, true, f.now)
	host.borrower.SetLenders(f.lendersOf(name, place, hosts), nil)
	return host
}

func (f *fleet) lendersOf(name, place string, hosts int) []LenderHost {
	lenders := []LenderHost{{Name: name}}
	for i := range hosts {
		other := LenderHost{Name: fmt.Sprint("host", i), RoundTrip: 2 * betweenPlaces}
		if other.Name == name {
			continue
		}
		if place == fmt.Sprint("place", i%fleetPlaces) {
			other.RoundTrip = 2 * withinPlace
		}
		lenders = append(lenders, other)
	}
	slices.SortStableFunc(lenders, func(a, b LenderHost) int { return int(a.RoundTrip - b.RoundTrip) })
	return lenders
}

type admitAll struct{}

func (admitAll) Admit(*blackboard.Job, map[string]*blackboard.Group, time.Time) *dispatch.Refusal {
	return nil
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now.Add(delay), order: f.order, run: run})
}

// play runs the fleet at a share of its capacity and collects response against ideal after a warm-up.
func (f *fleet) play(load float64, warm, length time.Duration) {
	capacity := 0.0
	for i := range fleetMinions {
		capacity += fleetSlots * fleetSpeeds[(i/fleetPlaces)%len(fleetSpeeds)]
	}
	rate := load * capacity / meanWork
	f.from = f.now.Add(warm)
	end := f.from.Add(length)
	f.end = end
	var arrive func()
	arrive = func() {
		if f.now.Before(end) {
			f.submit(f.hosts[f.random.Intn(len(f.hosts))])
			f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	f.after(0, arrive)
	for _, host := range f.hosts {
		f.tick(host, end)
	}
	if f.policy == "shared" {
		f.hear(end)
	}
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
}

func (f *fleet) tick(host *fleetHost, end time.Time) {
	if f.now.After(end.Add(time.Minute)) || f.policy != "loans" {
		return
	}
	host.keeper.Tick(f.now)
	f.step(host, dispatch.Effects{})
	f.after(5*time.Millisecond, func() { f.tick(host, end) })
}

// hear tells each host what the others use; until the next time they go by it.
func (f *fleet) hear(end time.Time) {
	for _, host := range f.hosts {
		for name, minion := range host.group.Backends {
			minion.Granted = fleetSlots - f.busy[name] + minion.Busy
			host.engine.BackendChanged(host.group, minion)
		}
		f.run(host, host.engine.Assign(host.group, f.now))
	}
	if f.now.Before(end) {
		f.after(200*time.Millisecond, func() { f.hear(end) })
	}
}

func (f *fleet) submit(host *fleetHost) {
	work, kind := 0.0, "short"
	switch draw := f.random.Float64(); {
	case draw < 0.003:
		kind = "long"
		work = 20 + 20*f.random.Float64()
	case draw < 0.1:
		kind = "medium"
		work = 2 + 4*f.random.Float64()
	default:
		work = 0.05 + 0.95*f.random.Float64()
	}
	job := &blackboard.Job{ID: fmt.Sprint(f.order), Account: "desk", Deadline: f.now.Add(time.Hour), Remaining: 1, Done: make(chan struct{})}
	job.Tasks = []*blackboard.Task{{
		Job: job, Kind: kind, Declared: time.Duration(work * float64(time.Second)),
		Target: &blackboard.Target{Group: "minions", Role: platform.RoleMinion, Timeout: time.Hour},
	}}
	effects, refusal := host.engine.Submit(job, f.now)
	require.Nil(f.t, refusal)
	f.step(host, effects)
}

// step carries out effects, asks the own keeper at once and others by messages.
func (f *fleet) step(host *fleetHost, effects dispatch.Effects) {
	f.run(host, effects)
	if f.policy != "loans" {
		return
	}
	for again := true; again; {
		again = false
		for _, call := range host.borrower.Plan(f.now) {
			if call.Lender == host.name {
				answer := host.keeper.Serve(call.Request, f.now)
				f.answered(host, host.name, call.Request, answer, f.now)
				again = len(answer.Granted) > 0
				f.push(host)
				continue
			}
			f.send(host, call)
		}
	}
}

func (f *fleet) answered(host *fleetHost, lender string, ask *BorrowRequest, answer *BorrowResponse, sent time.Time) {
	host.borrower.HandleResponse(lender, ask, answer, sent, f.now)
	f.run(host, host.engine.Assign(host.group, f.now))
}

func (f *fleet) send(host *fleetHost, call Call) {
	lender := f.find(call.Lender)
	delay := f.delay(host, lender)
	sent := f.now
	if f.lost() {
		f.after(retryLost, func() { host.borrower.HandleFailure(call.Lender, f.now, 0) })
		return
	}
	f.after(delay, func() {
		answer := lender.keeper.Serve(call.Request, f.now)
		f.push(lender)
		f.step(lender, dispatch.Effects{})
		if f.lost() {
			f.after(retryLost, func() { host.borrower.HandleFailure(call.Lender, f.now, 0) })
			return
		}
		f.after(delay, func() {
			f.answered(host, call.Lender, call.Request, answer, sent)
			f.step(host, dispatch.Effects{})
		})
	})
}

// retryLost is after what time a host gives up waiting for an answer.
const retryLost = 50 * time.Millisecond

func (f *fleet) lost() bool {
	return f.loss > 0 && f.random.Float64() < f.loss
}

func (f *fleet) push(keeping *fleetHost) {
	for _, push := range keeping.keeper.Pushes(keeping.name, f.now) {
		to := f.find(push.Host)
		if f.lost() {
			continue // the borrower's next full ask tells that it does not hold the slots
		}
		f.after(f.delay(keeping, to), func() {
			if !to.borrower.HandlePush(&push, f.now) {
				f.after(f.delay(keeping, to), func() { keeping.keeper.HandleRefusal(&push) })
				return
			}
			f.run(to, to.engine.Assign(to.group, f.now))
			f.step(to, dispatch.Effects{})
		})
	}
}

func (f *fleet) find(name string) *fleetHost {
	for _, host := range f.hosts {
		if host.name == name {
			return host
		}
	}
	return nil
}

func (f *fleet) delay(a, b *fleetHost) time.Duration {
	if a == b {
		return 0
	}
	if a.place == b.place {
		return withinPlace
	}
	return betweenPlaces
}

func (f *fleet) run(host *fleetHost, effects dispatch.Effects) {
	for _, start := range effects.Starts {
		travel := 2 * withinPlace
		if start.Backend.FailureDomain != host.place {
			travel = 2 * betweenPlaces
		}
		f.busy[start.Backend.Name]++
		if f.busy[start.Backend.Name] > fleetSlots {
			f.busy[start.Backend.Name]--
			f.refused++
			f.after(travel, func() {
				f.finish(host, start, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true})
			})
			continue
		}
		f.started++
		f.noteStart(start.Backend.Name)
		took := time.Duration(float64(start.Task.Declared) / f.speed(start.Backend.Name))
		f.after(travel+took, func() {
			f.busy[start.Backend.Name]--
			if task := start.Task; !task.Queued.Before(f.from) {
				response := f.now.Sub(task.Queued) + roundTrips
				f.ratios = append(f.ratios, response.Seconds()/(task.Declared+roundTrips).Seconds())
			}
			f.finish(host, start, dispatch.Outcome{Verdict: dispatch.VerdictDone})
		})
	}
}

func (f *fleet) finish(host *fleetHost, start dispatch.Start, outcome dispatch.Outcome) {
	effects, _ := host.engine.Finish(start.Task, start.Attempt, outcome, f.now)
	if answer := start.Task.Job.Answer; answer != nil && answer.State == api.StateFailed {
		f.failed++
	}
	f.step(host, effects)
}

func (f *fleet) quantile(q float64) float64 {
	slices.Sort(f.ratios)
	return f.ratios[int(q*float64(len(f.ratios)-1))]
}

func (f *fleet) counts() Counts {
	var sum Counts
	for _, host := range f.hosts {
		counts := host.borrower.Counts
		sum.Asks += counts.Asks
		sum.Empty += counts.Empty
		sum.WithoutOffer += counts.WithoutOffer
		sum.Stale += counts.Stale
		sum.Waiting += counts.Waiting
		sum.Renewals += counts.Renewals
		sum.Pushes += counts.Pushes
		sum.Granted += counts.Granted
		sum.Unused += counts.Unused
	}
	return sum
}

func defaultOptions() Options {
	return Options{Margin: 100 * time.Millisecond, Renew: 400 * time.Millisecond}
}

func (f *fleet) report(name string) {
	counts := f.counts()
	per := func(count int) float64 { return float64(count) / float64(f.started) }
	f.t.Logf("%-24s p50 %.2f p99 %.2f p999 %.2f | per start: asks %.3f empty %.3f (hoped %.3f stale %.3f waiting %.3f) renewals %.3f pushes %.3f unused %.3f refused %.4f failed %.4f",
		name, f.quantile(0.5), f.quantile(0.99), f.quantile(0.999),
		per(counts.Asks), per(counts.Empty),
		per(counts.WithoutOffer), per(counts.Stale), per(counts.Waiting), per(counts.Renewals), per(counts.Pushes), per(counts.Unused), per(f.refused), per(f.failed))
}
