package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	zones       = 3
	hostsZone   = 2
	minionsZone = 20
	minionCPU   = 64000

	warmUp     = 6 * time.Second
	lossLength = 5500 * time.Millisecond // of applied_late
	lossShare  = 0.055
	downTime   = 1300 * time.Millisecond // gap_s of srv_flap
	flapTime   = 7200 * time.Millisecond // for_s of srv_flap
	latest     = 12 * time.Second        // a late order is carried out 2 to 12 s later
	soonest    = 2 * time.Second
	longTask   = 7000
	rounds     = 2
)

func deployment(o *office) error {
	for i := range zones * minionsZone {
		if err := o.addMinion(fmt.Sprintf("i-%02d", i), fmt.Sprintf("zone-%d", i%zones), minionCPU); err != nil {
			return err
		}
	}
	loopback := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for i := range zones * hostsZone {
		if _, err := o.addHost(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i%zones), fmt.Sprintf("%s.%d", loopback, 1+i)); err != nil {
			return err
		}
	}
	if !o.awaitReady(15 * time.Second) {
		return fmt.Errorf("the hosts are not ready")
	}
	return nil
}

// restarts has three minions go down and up by turns, and a share of the orders left unanswered and carried out late.
func restarts(o *office, trouble bool) error {
	if err := deployment(o); err != nil {
		return err
	}
	done := make(chan struct{})
	traffic := o.traffic(done)
	time.Sleep(warmUp)
	for range rounds {
		if !trouble {
			time.Sleep(lossLength + flapTime + latest)
			continue
		}
		flaps := o.busiest()
		lose := o.loser(flaps, time.Now().Add(lossLength))
		o.mu.Lock()
		o.lose = lose
		o.mu.Unlock()
		time.Sleep(lossLength)
		var all sync.WaitGroup
		for m := range flaps {
			all.Go(func() { flap(m) })
		}
		all.Wait()
		time.Sleep(latest)
	}
	close(done)
	traffic.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

// traffic submits short and long jobs until done is closed.
func (o *office) traffic(done chan struct{}) *sync.WaitGroup {
	var traffic sync.WaitGroup
	every := func(interval time.Duration, do func()) {
		traffic.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(interval):
					do()
				}
			}
		})
	}
	every(60*time.Millisecond, func() { o.submit(4, 1000, 60, 5*time.Second) })
	every(200*time.Millisecond, func() { o.submit(1, 3000, longTask, 20*time.Second) })
	return &traffic
}

// flap takes a minion down and up by turns.
func flap(m *minion) {
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		m.crash()
		time.Sleep(downTime)
		if err := m.start(); err != nil {
			m.office.record("%s cannot start: %s", m.id, err)
			return
		}
		time.Sleep(downTime)
	}
}

// loser returns which orders are lost: within the share of all orders so far, starts of long tasks at the minions that will
// go down. Each is carried out 2 to 12 s later.
func (o *office) loser(at map[*minion]bool, until time.Time) func(m *minion, path string, read *order) bool {
	base, lost := 0, map[string]bool{}
	var mu sync.Mutex
	o.mu.Lock()
	base = o.orders
	o.mu.Unlock()
	return func(m *minion, path string, read *order) bool {
		o.mu.Lock()
		orders := o.orders - base
		o.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(until) || !at[m] || path != "/-/run-start" || float64(len(lost)+1) > lossShare*float64(orders) || lost[read.Task] ||
			!isLong(read) {
			return false
		}
		lost[read.Task] = true
		go o.carryOutLate(m, *read, time.Now())
		return true
	}
}

// isLong reports whether the order is for a task that is still at work some seconds later.
func isLong(read *order) bool {
	var todo work
	return json.Unmarshal([]byte(read.Spec), &todo) == nil && todo.Milliseconds >= longTask
}

// carryOutLate carries an order out at a time that is drawn, 2 to 12 s after it was sent, if the minion is up then.
func (o *office) carryOutLate(m *minion, read order, sent time.Time) {
	time.Sleep(soonest + rand.N(latest-soonest))
	status, body := m.begin(&read, true)
	o.record("late: start of %s run %d at %s after %s: %d %v", read.Task, read.Run, m.id, time.Since(sent).Round(time.Millisecond), status, body)
}

// busiest returns the minion of each place at which most tasks run.
func (o *office) busiest() map[*minion]bool {
	found := map[*minion]bool{}
	for i := range zones {
		for m := range o.busiestOf(fmt.Sprintf("zone-%d", i), 1) {
			found[m] = true
		}
	}
	return found
}

// busiestOf returns the minions of the place at which most tasks run.
func (o *office) busiestOf(zone string, count int) map[*minion]bool {
	var here []*minion
	runs := map[*minion]int{}
	for _, m := range o.minions {
		if m.zone == zone {
			m.mu.Lock()
			runs[m] = len(m.running)
			m.mu.Unlock()
			here = append(here, m)
		}
	}
	slices.SortStableFunc(here, func(a, b *minion) int { return runs[b] - runs[a] })
	found := map[*minion]bool{}
	for _, m := range here[:count] {
		found[m] = true
		o.record("%s is to go down; %d tasks run there", m.id, runs[m])
	}
	return found
}
