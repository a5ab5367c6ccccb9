package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// resend is resend_ms, after which a client sends a job again that got no answer, a 502 or a 504.
	resend = 1300 * time.Millisecond
	// lateBy is how late the order is carried out; the pages say seconds, the bench 2 to 12 s.
	lateBy = 6 * time.Second
	// upBefore is how long the minion is back when the order is carried out.
	upBefore = 80 * time.Millisecond
	// crashTime is how long the minion is down; the site's days have up to 4.8 s.
	crashTime = 3 * time.Second
	// hostDown is how long the killed host is down.
	hostDown = 500 * time.Millisecond
)

// lateStart has a start get no answer, the host that gave it be killed at once, and its minion crash in silence some seconds later.
// The late start is carried out in the minion's next life, while the job's next attempt runs elsewhere.
func lateStart(record *record, folder string, trouble bool) (isBroken bool, err error) {
	o, err := newOffice(record, folder, []string{"sapporo", "asahikawa", "hakodate"}, 2, 4, false)
	if o != nil {
		defer o.close()
	}
	if err != nil {
		return false, err
	}
	const id = "00000000c0de0001"
	const task = id + ".0.0.0"
	var mu sync.Mutex
	lost := false
	for _, m := range o.minions {
		m.mu.Lock()
		m.watch = func(m *minion, name string, given *order) {
			go func() {
				for _, other := range o.minions {
					if other != m && other.runs(name) && m.runs(name) {
						record.note("task %s runs at %s and at %s at the same time", name, m.id, other.id)
						mu.Lock()
						isBroken = true
						mu.Unlock()
					}
				}
			}()
		}
		if trouble {
			m.lose = func(m *minion, r *http.Request, given *order) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if lost || r.URL.Path != "/-/run-start" || given.Task != task {
					return 0
				}
				lost = true
				go o.kill(o.network.caller(r.RemoteAddr), hostDown)
				go func() {
					time.Sleep(lateBy - crashTime - upBefore)
					m.crash(crashTime, true)
				}()
				return lateBy
			}
		}
		m.mu.Unlock()
	}
	time.Sleep(3 * time.Second)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	body := longJob(9 * time.Second)
	body = strings.Replace(body, `"count":1`, `"count":4`, 1)
	go o.sendOthers(ctx)
	answered := make(chan int, 1)
	go func() {
		status := o.send(ctx, http.MethodPost, o.hostOf("sapporo"), id, body, callerWaits)
		for attempt := 0; attempt < 5 && (status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout); attempt++ {
			time.Sleep(resend)
			status = o.send(ctx, http.MethodPost, o.hostOf("asahikawa"), id, body, callerWaits)
		}
		answered <- status
	}()
	select {
	case status := <-answered:
		if status == http.StatusServiceUnavailable {
			return false, fmt.Errorf("the job was refused")
		}
	case <-time.After(60 * time.Second):
		return false, fmt.Errorf("the job has no answer")
	}
	mu.Lock()
	defer mu.Unlock()
	return isBroken, nil
}

// sendOthers sends short jobs of four tasks each in another zone, so that the order that is lost is one of many.
func (o *office) sendOthers(ctx context.Context) {
	body := strings.Replace(longJob(20*time.Millisecond), `"count":1`, `"count":4`, 1)
	for number := 0; ctx.Err() == nil; number++ {
		o.send(ctx, http.MethodPost, o.hostOf("hakodate"), fmt.Sprintf("%016x", 0xb0000000+number), body, callerWaits)
		time.Sleep(200 * time.Millisecond)
	}
}

// runs reports whether the minion is up and runs the task.
func (m *minion) runs(task string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.down && m.running[task] != nil
}
