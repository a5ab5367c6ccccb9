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

// Dimensions of the reference fleet.
const (
	fleetDomains   = 3
	fleetEndpoints = 48
	fleetSlots     = 8
	withinDomain   = 100 * time.Microsecond // one way
	betweenDomains = 500 * time.Microsecond // one way
	roundTrips     = 7 * time.Millisecond   // of the caller and the endpoint, which the ideal response time includes too
	meanWork       = 0.9505                 // seconds
	fleetScale     = 1.1                    // mean speed: hosts measure slowness relative to the mean of the group
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

// fleet connects the real engines, lenders and borrowers of several hosts by delayed messages, on a simulated clock.
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
	refused int // starts refused by the endpoint's concurrency limit
	from    time.Time
	end     time.Time                // of the arrivals
	loss    float64                  // share of messages that are lost
	learns  bool                     // hosts estimate speeds and kinds from the runs
	used    map[string]time.Time     // last start on each endpoint
	gaps    map[string]time.Duration // longest time without a start on each endpoint, after the warm-up
	onStart func(endpoint string)    // may be nil
}

type fleetHost struct {
	name     string
	domain   string
	board    *blackboard.Board
	engine   *dispatch.Engine
	lender   *Lender
	borrower *Borrower
	group    *blackboard.Group
}

// fixedEstimator replaces an estimator whose estimates of all speeds have converged.
type fixedEstimator struct{}

func (fixedEstimator) Classify(*blackboard.Task)                                    {}
func (fixedEstimator) Observe(*blackboard.Task, *blackboard.Backend, time.Duration) {}
func (fixedEstimator) ObserveOverrun(*blackboard.Task, time.Duration)               {}
func (fixedEstimator) Rescale(*blackboard.Group, float64)                           {}

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
		members.ByName[name] = blackboard.Member{Name: name, FailureDomain: fmt.Sprint("place", i%fleetDomains), Size: 1, Alive: true}
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprint("host", i), fmt.Sprint("place", i%fleetDomains), members, hosts, options, loan))
	}
	return f
}

func (f *fleet) newHost(name, domain string, members *blackboard.MemberTable, hosts int, options Options, loan time.Duration) *fleetHost {
	host := &fleetHost{name: name, domain: domain, board: blackboard.New()}
	var estimator dispatch.Estimator = fixedEstimator{}
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
	host.lender = NewLender(loan, options.Margin, 0)
	options.Host = name
	options.Incarnation = name
	host.borrower = NewBorrower(&host.board.Dispatch, host.lender, host.engine, options)
	var owned []*blackboard.Backend
	for i := range fleetEndpoints {
		endpoint := &blackboard.Backend{
			Name: fmt.Sprint("minion", i), FailureDomain: fmt.Sprint("place", i%fleetDomains), Group: "minions",
			Role: platform.RoleMinion, Slots: fleetSlots, SlownessRuns: 1000, Slowness: fleetScale / fleetSpeeds[(i/fleetDomains)%len(fleetSpeeds)],
		}
		if f.learns {
			endpoint.SlownessRuns, endpoint.Slowness = 0, 0
		}
		host.group.Backends[endpoint.Name] = endpoint
		switch f.policy {
		case "central":
			endpoint.Granted = fleetSlots
		case "fixed":
			index := slices.Index([]string{"host0", "host1", "host2", "host3", "host4", "host5"}, name)
			endpoint.Granted = fleetSlots*(index+1)/hosts - fleetSlots*index/hosts
		case "shared":
			endpoint.Granted = fleetSlots
		}
		if keeper.Of(endpoint.Name, endpoint.FailureDomain, members) == name {
			owned = append(owned, endpoint)
		}
	}
	host.engine.Sync()
	host.lender.Update(owned, true, f.now)
	host.borrower.SetLenders(f.lendersOf(name, domain, hosts), nil)
	return host
}

func (f *fleet) lendersOf(name, domain string, hosts int) []LenderHost {
	lenders := []LenderHost{{Name: name}}
	for i := range hosts {
		other := LenderHost{Name: fmt.Sprint("host", i), RoundTrip: 2 * betweenDomains}
		if other.Name == name {
			continue
		}
		if domain == fmt.Sprint("place", i%fleetDomains) {
			other.RoundTrip = 2 * withinDomain
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

// play runs the fleet at a share of its capacity and records the ratio of actual to ideal response time after a warm-up.
func (f *fleet) play(load float64, warm, length time.Duration) {
	capacity := 0.0
	for i := range fleetEndpoints {
		capacity += fleetSlots * fleetSpeeds[(i/fleetDomains)%len(fleetSpeeds)]
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
		f.shareUsage(end)
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
	host.lender.Tick(f.now)
	f.step(host, dispatch.Effects{})
	f.after(5*time.Millisecond, func() { f.tick(host, end) })
}

// shareUsage updates each host, every 200 ms, with the slots that the others use.
func (f *fleet) shareUsage(end time.Time) {
	for _, host := range f.hosts {
		for name, endpoint := range host.group.Backends {
			endpoint.Granted = fleetSlots - f.busy[name] + endpoint.Busy
			host.engine.BackendChanged(host.group, endpoint)
		}
		f.run(host, host.engine.Assign(host.group, f.now))
	}
	if f.now.Before(end) {
		f.after(200*time.Millisecond, func() { f.shareUsage(end) })
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

// step applies effects and sends requests: to the host's own lender directly, to others by messages.
func (f *fleet) step(host *fleetHost, effects dispatch.Effects) {
	f.run(host, effects)
	if f.policy != "loans" {
		return
	}
	for again := true; again; {
		again = false
		for _, call := range host.borrower.Plan(f.now) {
			if call.Lender == host.name {
				response := host.lender.Serve(call.Request, f.now)
				f.answered(host, host.name, call.Request, response, f.now)
				again = len(response.Granted) > 0
				f.push(host)
				continue
			}
			f.send(host, call)
		}
	}
}

func (f *fleet) answered(host *fleetHost, lender string, request *BorrowRequest, response *BorrowResponse, sent time.Time) {
	host.borrower.HandleResponse(lender, request, response, sent, f.now)
	f.run(host, host.engine.Assign(host.group, f.now))
}

func (f *fleet) send(host *fleetHost, call Call) {
	lender := f.find(call.Lender)
	delay := f.delay(host, lender)
	sent := f.now
	if f.lost() {
		f.after(responseTimeout, func() { host.borrower.HandleFailure(call.Lender, f.now, 0) })
		return
	}
	f.after(delay, func() {
		response := lender.lender.Serve(call.Request, f.now)
		f.push(lender)
		f.step(lender, dispatch.Effects{})
		if f.lost() {
			f.after(responseTimeout, func() { host.borrower.HandleFailure(call.Lender, f.now, 0) })
			return
		}
		f.after(delay, func() {
			f.answered(host, call.Lender, call.Request, response, sent)
			f.step(host, dispatch.Effects{})
		})
	})
}

// responseTimeout is how long a host waits for a response to a lost request.
const responseTimeout = 50 * time.Millisecond

func (f *fleet) lost() bool {
	return f.loss > 0 && f.random.Float64() < f.loss
}

func (f *fleet) push(from *fleetHost) {
	for _, push := range from.lender.Pushes(from.name, f.now) {
		to := f.find(push.Host)
		if f.lost() {
			continue // the borrower's next full request shows that it does not hold the slots
		}
		f.after(f.delay(from, to), func() {
			if !to.borrower.HandlePush(&push, f.now) {
				f.after(f.delay(from, to), func() { from.lender.HandleRefusal(&push) })
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
	if a.domain == b.domain {
		return withinDomain
	}
	return betweenDomains
}

func (f *fleet) run(host *fleetHost, effects dispatch.Effects) {
	for _, start := range effects.Starts {
		travel := 2 * withinDomain
		if start.Backend.FailureDomain != host.domain {
			travel = 2 * betweenDomains
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
		if f.onStart != nil {
			f.onStart(start.Backend.Name)
		}
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
