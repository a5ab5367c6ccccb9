package app

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chervilusher.dev/soak/pkg/faults"
	"chervilusher.dev/soak/pkg/yard"
	"chervilusher.dev/standin/pkg/runner"
)

const (
	// pinnedCallers is how many callers keep to one host.
	pinnedCallers = 2
	// lossSlack is how long before the end of its connection a request was sent that its host must have read.
	lossSlack = 200 * time.Millisecond
	// redialDelay is the time between two tries to connect to a host that is down, and after a refusal.
	redialDelay = 20 * time.Millisecond
)

// plannedStops stops hosts in turn for a while, with nothing else broken, under callers that keep to one host each. It
// returns their answers by status and what was broken of what must hold.
func plannedStops(under *yard.Yard, breaker *faults.Breaker, seed uint64, length time.Duration) (map[string]int, []string) {
	rolling, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	calling, stopCalling := context.WithCancel(context.Background())
	defer stopCalling()
	var pinned []*callers
	var calls sync.WaitGroup
	for _, host := range under.Hosts {
		for range pinnedCallers {
			caller := newCallers(under, seed+uint64(len(pinned)))
			pinned = append(pinned, caller)
			caller.sent = pinnedIDs * len(pinned)
			calls.Go(func() { caller.pin(calling, host) })
		}
	}
	breaker.Roll(rolling)
	stopCalling()
	calls.Wait()
	time.Sleep(quietTime)
	outcomes, breaches := map[string]int{}, []string{}
	for _, caller := range pinned {
		for status, count := range caller.outcomes {
			outcomes[status] += count
		}
		for _, id := range caller.refused {
			if starts := under.Ledger.Starts(id); starts > 0 {
				caller.breach("job %s was refused as not run, but %d of its tasks have begun", id, starts)
			}
		}
		breaches = append(breaches, caller.breaches...)
	}
	if running := under.Ledger.Running(); running > 0 {
		breaches = append(breaches, fmt.Sprintf("%d tasks run after planned stops that nobody waits for", running))
	}
	if err := under.AwaitReady(startTimeout); err != nil {
		breaches = append(breaches, err.Error())
	}
	return outcomes, breaches
}

// pin sends jobs to the one host until the context ends, and connects again whenever its connection has ended.
func (c *callers) pin(ctx context.Context, host *yard.Host) {
	for ctx.Err() == nil {
		connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", host.Caller)
		if err != nil {
			time.Sleep(redialDelay)
			continue
		}
		answers := bufio.NewReader(connection)
		for ctx.Err() == nil && c.exchange(connection, answers, host) {
			if c.random.IntN(4) == 0 {
				time.Sleep(time.Duration(c.random.IntN(500)) * time.Millisecond)
			}
		}
		_ = connection.Close()
	}
}

// exchange sends a job, checks its answer, and reports whether the connection is still of use.
func (c *callers) exchange(connection net.Conn, answers *bufio.Reader, host *yard.Host) bool {
	longest := 300
	if c.random.IntN(5) == 0 {
		longest = 1200
	}
	length := time.Duration(10+c.random.IntN(longest)) * time.Millisecond
	drawn := c.compose(1+c.random.IntN(2), runner.Work{Length: length, Cores: int64(3000 + c.random.IntN(6000))})
	request, err := drawn.request(context.Background(), host)
	if err != nil {
		return false
	}
	if connection.SetDeadline(time.Now().Add(callerPatience+answerSlack)) != nil || request.Write(connection) != nil {
		return false // not sent in full
	}
	sent := time.Now()
	response, err := http.ReadResponse(answers, request)
	if err != nil {
		waited, starts := time.Since(sent), c.yard.Ledger.Starts(drawn.id)
		c.count(0)
		if waited > lossSlack || starts > 0 {
			c.breach("%s job %s got no answer from %s, %s after it was sent, with %d of its tasks begun: %s",
				time.Now().Format(time.RFC3339Nano), drawn.id, host.Name, waited, starts, err)
		}
		return false
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.breach("%s job %s got half an answer from %s: %s", time.Now().Format(time.RFC3339Nano), drawn.id, host.Name, err)
		return false
	}
	c.count(response.StatusCode)
	c.check(&drawn, response, raw)
	if response.StatusCode == http.StatusServiceUnavailable {
		c.refused = append(c.refused, drawn.id)
		time.Sleep(redialDelay)
	}
	return !response.Close
}
