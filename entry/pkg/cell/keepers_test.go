package cell

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	// resendAfter is when a caller sends a job again whose connection broke or that was answered 504.
	resendAfter = 1300 * time.Millisecond
	// suspectAfter is the silence after which hosts take each other as gone.
	suspectAfter = 500 * time.Millisecond
	// doubtAfter is the silence after which no lease is renewed for a home's sake.
	doubtAfter = 250 * time.Millisecond
	// cells is how many cells the place has; a job that is sent anew may come to the other one.
	cells = 2
	// duelPause is the delay until a keeper that was fenced takes the worker back.
	duelPause = 300 * time.Millisecond
)

// rival is one of several keepers that order the workers of the same cell; only their tokens settle who may.
type rival struct {
	*office
	name     string
	part     int       // the cell that it contends for
	believes bool      // it takes itself for the keeper
	dead     bool      // its process is gone; its late starts still arrive
	frozen   time.Time // until when its process stands still
	apart    time.Time // since when it and the homes do not hear each other
	lost     map[string]time.Time
}

// request is a job in the eyes of its caller, who sends it again when it is cut off.
type request struct {
	id     string
	tasks  int
	length time.Duration
	until  time.Time // when the caller leaves
	home   string
	job    *Job
	at     *rival
	resend time.Time // zero while an answer is awaited
	given  bool      // it has its answer, or the caller has left
}

// contest is a place with two cells whose keepers, homes, workers and store fail.
type contest struct {
	t        *rapid.T
	now      time.Time
	workers  map[string]*simWorker
	rivals   []*rival
	requests []*request
	listed   map[string]bool // workers that the store lists
	parts    map[string]int  // the cell of each worker
	away     bool            // the store is not to be read
	token    int64
	home     string
	homes    int
}

func newContest(t *rapid.T) *contest {
	c := &contest{t: t, now: time.Unix(1_000_000, 0), workers: map[string]*simWorker{}, listed: map[string]bool{}, parts: map[string]int{}, home: "home-0"}
	for range rapid.IntRange(cells, 2*cells).Draw(t, "workers") {
		c.addWorker()
	}
	for part := range cells {
		c.take(c.addRival(part))
		c.addRival(part)
	}
	return c
}

func (c *contest) addWorker() {
	id := fmt.Sprintf("w%02d", len(c.workers))
	c.workers[id] = newSimWorker(Resources{Cores: 16_000, Memory: 1 << 20}, 1, rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(c.t, "drift"), c.now)
	c.listed[id] = true
	c.parts[id] = (len(c.workers) - 1) % cells
}

func (c *contest) addRival(part int) *rival {
	r := &rival{office: newOffice(c.t), name: fmt.Sprintf("keeper-%d", len(c.rivals)), part: part, lost: map[string]time.Time{}}
	r.now = c.now
	r.workers = c.workers
	c.rivals = append(c.rivals, r)
	return r
}

// take makes the rival believe that it is the keeper, with the highest token so far; what it held it takes anew.
func (c *contest) take(r *rival) {
	c.resign(r)
	r.believes = true
	clear(r.fenced)
	c.token++
	for id := range c.listed {
		r.tokens[id] = c.token
	}
	c.read(r)
}

// read makes the listed workers those that the rival keeps, unless the store is away.
func (c *contest) read(r *rival) {
	if c.away || !r.believes {
		return
	}
	for id := range c.listed {
		if r.cell.Worker(id) != nil || c.parts[id] != r.part {
			continue
		}
		if r.tokens[id] == 0 {
			c.token++
			r.tokens[id] = c.token
		}
		r.cell.Add(&Worker{ID: id, Kind: "usual", Group: "desk", Capacity: c.workers[id].capacity})
	}
	for _, worker := range r.cell.Workers() {
		if !c.listed[worker.ID] {
			effects := r.cell.Remove(worker.ID, c.now)
			r.carry(&effects)
		}
	}
}

// resign makes the rival give all workers up.
func (c *contest) resign(r *rival) {
	r.believes = false
	for _, worker := range r.cell.Workers() {
		effects := r.cell.Remove(worker.ID, c.now)
		r.carry(&effects)
	}
}

func (r *rival) acts(now time.Time) bool {
	return !r.dead && !now.Before(r.frozen)
}

// pass lets time go by for all of them.
func (c *contest) pass(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); {
		c.now = c.now.Add(step)
		for _, sim := range c.workers {
			sim.advance(c.now)
		}
		for _, r := range c.rivals {
			r.now = c.now
			r.arriveLate()
			if r.acts(c.now) {
				c.act(r)
			}
		}
		c.serveCallers()
	}
}

// act is what a keeper does all the time: it hears who is gone, holds its workers, and takes back those that it lost.
func (c *contest) act(r *rival) {
	c.read(r)
	for id, since := range r.fenced {
		if r.believes && c.now.Sub(since) > duelPause {
			c.token++
			r.tokens[id] = c.token
			delete(r.fenced, id)
		}
	}
	r.work()
	silent := maps.Clone(r.lost)
	if !r.apart.IsZero() {
		silent[c.home] = r.apart
	}
	var doubted []string
	for home, since := range silent {
		switch silence := c.now.Sub(since); {
		case silence > suspectAfter:
			effects := r.cell.HandleHomeFailure(home, "", c.now)
			r.carry(&effects)
			delete(r.lost, home)
		case silence > doubtAfter:
			doubted = append(doubted, home)
		}
	}
	r.cell.SetSuspectedHomes(doubted)
}

// serveCallers gives answers, cuts off, and sends again.
func (c *contest) serveCallers() {
	for _, q := range c.requests {
		switch {
		case q.given:
		case !c.now.Before(q.until):
			q.given = true
			c.cancel(q)
		case !q.resend.IsZero():
			if !c.now.Before(q.resend) {
				c.send(q)
			}
		case q.home != c.home:
			c.cutOff(q) // its home is gone, and with it the connection
		case q.at.acts(c.now) && q.at.apart.IsZero() && q.job.answer != nil:
			c.answer(q)
		case q.at.dead, c.silence(q.at) > suspectAfter:
			c.cutOff(q)
			c.cancel(q)
		}
	}
}

// silence returns for how long homes have not heard the keeper.
func (c *contest) silence(r *rival) time.Duration {
	silence := time.Duration(0)
	if !r.acts(c.now) {
		silence = suspectAfter + 1 - r.frozen.Sub(c.now)
	}
	if !r.apart.IsZero() {
		silence = max(silence, c.now.Sub(r.apart))
	}
	return silence
}

func (c *contest) cutOff(q *request) {
	q.resend = c.now.Add(resendAfter)
}

func (c *contest) answer(q *request) {
	switch q.job.answer.Outcome {
	case Abandoned:
		c.cutOff(q)
	case Refused:
		q.resend = c.now.Add(q.job.answer.RetryAfter)
	case Completed, Failed:
		q.given = true
	}
}

// cancel tells the keeper that the caller has left, if it can be told.
func (c *contest) cancel(q *request) {
	if q.job != nil && q.at.acts(c.now) && q.at.apart.IsZero() && q.home == c.home {
		effects := q.at.cell.Cancel(q.job, "the caller left", c.now)
		q.at.carry(&effects)
	}
}

// send gives the job to some keeper that the home hears.
func (c *contest) send(q *request) {
	var heard []*rival
	for _, r := range c.rivals {
		if r.acts(c.now) && r.apart.IsZero() {
			heard = append(heard, r)
		}
	}
	if len(heard) == 0 {
		q.resend = c.now.Add(time.Second)
		return
	}
	q.at = heard[rapid.IntRange(0, len(heard)-1).Draw(c.t, "keeper")]
	q.home = c.home
	q.resend = time.Time{}
	q.job = q.at.jobNamed(q.id, q.tasks, 5, q.length, 2*q.length+patient, 3*q.length+patient)
	q.job.Home = q.home
	q.at.submit(q.job)
}

// TestRandomisedKeepers lets two and more keepers contend for the same workers while homes, keepers, workers and the
// store fail. Each start is checked as in TestRandomisedSteps, over all keepers.
func TestRandomisedKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newContest(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			c.step()
			c.pass(time.Duration(rapid.IntRange(0, 600).Draw(t, "pass")) * time.Millisecond)
		}
		c.settle()
	})
}

func (c *contest) step() {
	r := c.rivals[rapid.IntRange(0, len(c.rivals)-1).Draw(c.t, "rival")]
	switch rapid.IntRange(0, 15).Draw(c.t, "step") {
	case 0:
		c.take(r)
	case 1:
		c.resign(r)
	case 2:
		r.dead = true
		c.addRival(r.part)
	case 3:
		r.frozen = c.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(c.t, "frozen")) * time.Millisecond)
	case 4:
		r.apart = c.now
	case 5:
		r.apart = time.Time{}
	case 6:
		r.cut = !r.cut
	case 7:
		c.loseHome()
	case 8:
		c.away = !c.away
	case 9:
		c.replaceWorker()
	case 10:
		sim := c.workers[c.someWorker()]
		sim.silent = !sim.silent
	case 11:
		c.workers[c.someWorker()].birth(c.now)
	default:
		c.ask()
	}
}

func (c *contest) someWorker() string {
	return fmt.Sprintf("w%02d", rapid.IntRange(0, len(c.workers)-1).Draw(c.t, "worker"))
}

// loseHome kills the home of all open requests; another one takes what is sent next.
func (c *contest) loseHome() {
	for _, r := range c.rivals {
		r.lost[c.home] = c.now
		if !r.apart.IsZero() {
			r.lost[c.home] = r.apart
		}
	}
	c.homes++
	c.home = fmt.Sprintf("home-%d", c.homes)
}

// replaceWorker takes a worker away for good; another one joins.
func (c *contest) replaceWorker() {
	id := c.someWorker()
	if !c.listed[id] {
		return
	}
	delete(c.listed, id)
	c.workers[id].down = true
	c.workers[id].birth(c.now)
	part := c.parts[id]
	c.addWorker()
	c.parts[fmt.Sprintf("w%02d", len(c.workers)-1)] = part
}

func (c *contest) ask() {
	q := &request{
		id:     fmt.Sprintf("j%04d", len(c.requests)),
		tasks:  rapid.IntRange(1, 4).Draw(c.t, "tasks"),
		length: time.Duration(rapid.SampledFrom([]int{20, 200, 900, 3000}).Draw(c.t, "length")) * time.Millisecond,
		until:  c.now.Add(time.Duration(rapid.IntRange(1000, 9000).Draw(c.t, "until")) * time.Millisecond),
	}
	c.requests = append(c.requests, q)
	c.send(q)
}

// settle heals everything, leaves one keeper, and checks that it has all workers and that nothing is left over.
func (c *contest) settle() {
	c.away = false
	for _, sim := range c.workers {
		sim.silent = false
	}
	for _, r := range c.rivals {
		r.frozen, r.apart, r.cut = time.Time{}, time.Time{}, false
		if !r.dead {
			c.resign(r)
		}
	}
	keepers := make([]*rival, cells)
	for part := range keepers {
		keepers[part] = c.addRival(part)
		c.take(keepers[part])
	}
	c.pass(15 * time.Second)
	last := make([]*Job, 0, len(keepers))
	for _, keeper := range keepers {
		job := keeper.jobNamed("last at "+keeper.name, 1, 5, 50*time.Millisecond, usual, patient)
		last = append(last, job)
		keeper.submit(job)
	}
	c.pass(time.Second)
	for part, keeper := range keepers {
		require.Equal(c.t, Completed.String(), keeper.outcome(last[part]), "the last job, after everything has healed")
	}
	for _, q := range c.requests {
		require.True(c.t, q.given, "request %s has no answer", q.id)
	}
	for _, r := range c.rivals {
		if !r.dead {
			require.Empty(c.t, r.cell.jobs, "%s holds jobs", r.name)
			require.Empty(c.t, r.cell.byID, "%s remembers jobs", r.name)
		}
	}
	for id := range c.listed {
		require.True(c.t, keepers[c.parts[id]].cell.Worker(id).Held(), "worker %s", id)
		require.Empty(c.t, c.workers[id].running, "worker %s still runs something", id)
	}
}
