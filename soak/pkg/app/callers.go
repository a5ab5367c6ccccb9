package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/soak/pkg/yard"
	"chervilusher.dev/standin/pkg/runner"
)

const (
	// resendDelay is when a caller sends a job again whose connection broke.
	resendDelay = 1300 * time.Millisecond
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 2500 * time.Millisecond
	// answerSlack is how much later than its patience a caller may get its answer; hosts share the machine.
	answerSlack = time.Second
	// maxSends bounds how often a caller sends one job.
	maxSends = 3
	// deadlyEvery is the mean number of jobs from one that crashes its runners to the next.
	deadlyEvery = 100
)

// callers send jobs to all hosts and note what they see.
type callers struct {
	yard   *yard.Yard
	random *rand.Rand
	client *http.Client

	mu       sync.Mutex
	sent     int
	outcomes map[string]int
	refused  []string // identifiers of jobs that were sent once and refused
	breaches []string
	work     sync.WaitGroup
}

func newCallers(of *yard.Yard, seed uint64) *callers {
	return &callers{
		yard:     of,
		random:   rand.New(rand.NewPCG(seed, ^seed)),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		outcomes: map[string]int{},
	}
}

// run sends jobs until the context ends, and waits for their answers.
func (c *callers) run(ctx context.Context, gap time.Duration) {
	for ctx.Err() == nil {
		job := c.draw()
		if c.random.IntN(deadlyEvery) == 0 {
			job = c.drawDeadly()
		}
		c.work.Go(func() { c.send(job) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(gap) * c.random.ExpFloat64())):
		}
	}
	c.work.Wait()
}

// job is one caller's job.
type job struct {
	id      string
	tasks   int
	deadly  bool // its task crashes the runner
	body    []byte
	hosts   []int // where it is sent, one after the other
	leaving time.Duration
}

func (j *job) request(ctx context.Context, host *yard.Host) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Caller+yard.QueuePath+j.id, bytes.NewReader(j.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Host = yard.QueueHost
	request.Header.Set("Chervilusher-Deadline-Remaining", fmt.Sprint(callerPatience.Milliseconds()))
	return request, nil
}

func (c *callers) draw() job {
	tasks := 1 + c.random.IntN(5)
	length := time.Duration(10+c.random.IntN(300)) * time.Millisecond
	drawn := c.compose(tasks, runner.Work{Length: length, Cores: int64(3000 + c.random.IntN(6000))})
	for range maxSends {
		drawn.hosts = append(drawn.hosts, c.random.IntN(len(c.yard.Hosts)))
	}
	if c.random.IntN(10) == 0 {
		drawn.leaving = time.Duration(c.random.IntN(200)) * time.Millisecond
	}
	return drawn
}

// drawDeadly draws a job of one task that crashes each runner that starts it.
func (c *callers) drawDeadly() job {
	hosts := c.draw().hosts
	length := time.Duration(10+c.random.IntN(300)) * time.Millisecond
	drawn := c.compose(1, runner.Work{Length: length, Cores: 3000, Deadly: true})
	drawn.deadly, drawn.hosts = true, hosts
	return drawn
}

// compose returns the next job, of tasks that are alike.
func (c *callers) compose(tasks int, work runner.Work) job {
	c.sent++
	spec, _ := json.Marshal(work) // a plain struct always encodes
	body := fmt.Appendf(nil, `{"best_effort":true,"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimated_ms":%d}]}`,
		spec, tasks, work.Cores, work.Length.Milliseconds())
	return job{id: fmt.Sprintf("%016x", c.sent), tasks: tasks, body: body}
}

// send sends the job until it has a final answer, and checks the answer against what the runners saw.
func (c *callers) send(drawn job) {
	rejected := 0
	for try, host := range drawn.hosts {
		status := c.post(&drawn, c.yard.Hosts[host])
		c.count(status)
		switch status {
		case http.StatusOK:
			return
		case http.StatusServiceUnavailable:
			rejected++
			if rejected == try+1 && c.yard.Ledger.Starts(drawn.id) > 0 {
				c.breach("job %s was refused as not run, but %d of its tasks have begun", drawn.id, c.yard.Ledger.Starts(drawn.id))
			}
			return
		}
		if drawn.leaving > 0 {
			return
		}
		time.Sleep(resendDelay)
		if running := c.yard.Ledger.RunningOf(drawn.id); len(running) > 0 {
			c.breach("job %s runs on %s after its caller saw status %d: %v", drawn.id, resendDelay, status, running)
		}
	}
}

// post sends the job once and returns the answer's status, or 0 when there was none.
func (c *callers) post(drawn *job, host *yard.Host) int {
	patience := callerPatience
	if drawn.leaving > 0 {
		patience = drawn.leaving
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience+answerSlack)
	defer cancel()
	if drawn.leaving > 0 {
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	request, err := drawn.request(ctx, host)
	if err != nil {
		return 0
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	c.check(drawn, response, raw)
	return response.StatusCode
}

func (c *callers) check(drawn *job, response *http.Response, raw []byte) {
	switch response.StatusCode {
	case http.StatusOK:
		if drawn.deadly && bytes.Contains(raw, []byte("completed")) {
			c.breach("job %s is completed, though its task never ends", drawn.id)
		}
		if bytes.Contains(raw, []byte("completed")) && c.yard.Ledger.Starts(drawn.id) < drawn.tasks {
			c.breach("job %s is completed with %d of %d tasks begun", drawn.id, c.yard.Ledger.Starts(drawn.id), drawn.tasks)
		}
	case http.StatusServiceUnavailable:
		if response.Header.Get("Retry-After") == "" {
			c.breach("job %s was refused without saying when to come back", drawn.id)
		}
	case http.StatusGatewayTimeout:
	default:
		c.breach("job %s got status %d: %s", drawn.id, response.StatusCode, raw)
	}
}

func (c *callers) count(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[fmt.Sprint(status)]++
}

func (c *callers) breach(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, fmt.Sprintf(format, values...))
}
