package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/workload"
)

// Bounds of the caller.
const (
	idleConnections = 4096  // kept to one entry host
	pollWait        = "60s" // of one request
	resubmitDelay   = 30 * time.Millisecond
	maxDials        = 4 // hosts tried when connections are refused
)

// errLost tells that a host which had taken a job does not answer any more.
var errLost = errors.New("the job's home does not answer")

// Caller sends jobs to the entry hosts of a fleet.
type Caller struct {
	settings *experiment.Settings
	client   *http.Client
	balancer *balancer
	tickets  *tickets
	start    time.Time

	mu       sync.Mutex
	underWay map[int]*flight
}

// flight is a job that has no final answer yet.
type flight struct {
	outcome *Outcome
	host    string
	ticket  string
	key     string
}

// New returns a caller of the entry hosts.
func New(settings *experiment.Settings, hosts []Host) *Caller {
	spread := &balancer{source: rand.New(rand.NewPCG(settings.Seed, settings.Seed+1))}
	for _, host := range hosts {
		spread.targets = append(spread.targets, &target{address: host.Address, size: max(host.Size, 1)})
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DialContext: dial, DisableCompression: true}
	return &Caller{
		settings: settings,
		client:   &http.Client{Transport: transport},
		balancer: spread,
		tickets:  &tickets{byID: map[ticketID]*cached{}},
		underWay: map[int]*flight{},
	}
}

// Run sends every job at its time and returns the outcomes in the jobs' order once all have ended or the settle time is over.
func (c *Caller) Run(ctx context.Context, jobs []workload.Job, start time.Time) []Outcome {
	c.start = start
	ctx, cancel := context.WithDeadline(ctx, start.Add(c.settings.Length.Std()+c.settings.Settle.Std()))
	defer cancel()
	outcomes := make([]Outcome, len(jobs))
	var sending sync.WaitGroup
	for i := range c.settings.Owners {
		owner := &c.settings.Owners[i]
		for wave := range owner.Cancels {
			sending.Go(func() { c.cancelWave(ctx, owner, owner.Cancels[wave]) })
		}
	}
	for i := range jobs {
		outcomes[i].Job = &jobs[i]
		if wait := time.Until(start.Add(jobs[i].At)); wait > 0 {
			time.Sleep(wait)
		}
		sending.Go(func() { c.send(ctx, i, &outcomes[i]) })
	}
	sending.Wait()
	time.Sleep(time.Until(start.Add(c.settings.Length.Std())))
	c.client.CloseIdleConnections()
	return outcomes
}

// send submits one job and waits for its final answer.
func (c *Caller) send(ctx context.Context, index int, outcome *Outcome) {
	outcome.Sent = time.Since(c.start)
	defer func() { outcome.Ended = time.Since(c.start) }()
	job := outcome.Job
	body := encode(index, job)
	for range maxDials {
		host := c.balancer.pick(time.Now())
		ticket, err := c.tickets.get(ctx, c, job.Owner.Name, host)
		if err != nil {
			c.balancer.rest(host, time.Now())
			continue
		}
		sent := &flight{outcome: outcome, host: host, ticket: ticket, key: keyOf(index)}
		c.note(index, sent)
		answer, err := c.submit(ctx, sent, body)
		c.note(index, nil)
		if err == nil {
			c.read(index, outcome, answer)
			return
		}
		if refusedConnection(err) {
			c.balancer.rest(host, time.Now())
			c.tickets.drop(job.Owner.Name, host)
			continue
		}
		return
	}
}

// submit sends the job, a second time if the workload says so, and polls until the answer is final.
func (c *Caller) submit(ctx context.Context, sent *flight, body []byte) (*api.Answer, error) {
	job := sent.outcome.Job
	request := call{
		method: http.MethodPost, host: sent.host, path: "/v1/jobs?wait=" + pollWait,
		owner: job.Owner.Name, ticket: sent.ticket, key: sent.key, body: body,
	}
	second := make(chan *api.Answer, 1)
	if job.Resubmit {
		copied := request
		go func() { second <- c.resubmit(ctx, copied) }()
	}
	var answer api.Answer
	if err := c.exchange(ctx, request, &answer); err != nil {
		return nil, err
	}
	request.method, request.path, request.body = http.MethodGet, "/v1/jobs/"+sent.key+"?wait="+pollWait, nil
	for !answer.Final() {
		answer = api.Answer{}
		if err := c.exchange(ctx, request, &answer); err != nil {
			return nil, errLost
		}
	}
	if job.Resubmit {
		sent.outcome.Mismatch = differs(&answer, <-second)
	}
	return &answer, nil
}

// resubmit sends the same job to some host a little later, as a client that believes it lost.
func (c *Caller) resubmit(ctx context.Context, request call) *api.Answer {
	time.Sleep(resubmitDelay)
	request.host = c.balancer.pick(time.Now())
	var answer api.Answer
	if err := c.exchange(ctx, request, &answer); err != nil {
		return nil
	}
	return &answer
}

// note remembers or forgets a job that is under way.
func (c *Caller) note(index int, sent *flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent == nil {
		delete(c.underWay, index)
		return
	}
	c.underWay[index] = sent
}

// cancelWave cancels a share of an owner's jobs that are under way.
func (c *Caller) cancelWave(ctx context.Context, owner *experiment.Owner, wave experiment.Cancel) {
	time.Sleep(time.Until(c.start.Add(wave.At.Std())))
	source := rand.New(rand.NewPCG(c.settings.Seed, uint64(wave.At)))
	c.mu.Lock()
	var chosen []*flight
	for _, sent := range c.underWay {
		if sent.outcome.Job.Owner == owner && source.Float64() < wave.Share {
			chosen = append(chosen, sent)
		}
	}
	c.mu.Unlock()
	var cancelling sync.WaitGroup
	for _, sent := range chosen {
		cancelling.Go(func() { c.cancel(ctx, sent) })
	}
	cancelling.Wait()
}

func (c *Caller) cancel(ctx context.Context, sent *flight) {
	began := time.Now()
	var answer api.Answer
	request := call{
		method: http.MethodDelete, host: sent.host, path: "/v1/jobs/" + sent.key,
		owner: sent.outcome.Job.Owner.Name, ticket: sent.ticket, key: sent.key,
	}
	if err := c.exchange(ctx, request, &answer); err == nil {
		sent.outcome.Cancelled = time.Since(began)
	}
}
