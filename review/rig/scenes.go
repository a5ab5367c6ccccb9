package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"sapporo", "asahikawa", "hakodate"}

// Figures of the sheet of hfpo-sched.
const (
	hostsPerZone   = 2
	minionsPerZone = 16
	cpu            = 6800                    // of one task, in thousandths of a core
	longestTask    = 8100                    // milliseconds, of order-validate
	slowestTask    = longestTask * 17 / 10   // on the slowest kind of minion
	cancelBound    = 3 * time.Second         // cancel_ms
	stopBound      = 50 * time.Millisecond   // stop_ms
	resendDelay    = 1300 * time.Millisecond // resend_ms
	contact        = 3 * time.Second         // contact_ms
	ackBound       = 4 * time.Second         // ack_ms
	configBound    = 2 * time.Second         // config_apply_ms
	drainBound     = 2 * time.Second         // drain_ms
)

// cancelAfterResend has a client's connection break with the host that its connections go to. The client sends its job again,
// at another host, and cancels it 5 s later, when the first host has long been back.
func cancelAfterResend(r *record, root string, trouble bool) error {
	o, err := newOffice(r, root, zones, hostsPerZone, minionsPerZone)
	defer o.close()
	if err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	begun := make(chan struct{}, 8)
	o.ledger.onStart = func(string, string, int) { begun <- struct{}{} }
	// The platform chooses the node of a connection by a hash of the client; retries reach other nodes.
	own, other := o.hosts[0], o.hosts[1]
	answers := make(chan answer, 2)
	submit := func(at *host) {
		answers <- o.submit(context.Background(), at, id, 2, cpu, longestTask, 20*time.Second)
	}
	go submit(own)
	if err := await(begun, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		own.signal(syscall.SIGKILL)
		if broken := <-answers; broken.status != 0 {
			return fmt.Errorf("the killed host has answered %d", broken.status)
		}
		time.Sleep(300 * time.Millisecond)
		if err := own.start(); err != nil {
			return err
		}
		time.Sleep(resendDelay - 300*time.Millisecond)
		for len(begun) > 0 {
			<-begun
		}
		go submit(other)
		if err := await(begun, 5*time.Second); err != nil {
			return err
		}
		// The kill is over for longer than contact_ms by the time of the cancelling.
		time.Sleep(contact + 500*time.Millisecond)
		if !own.isReady() {
			return errors.New("the host that was killed is not ready again")
		}
	}
	cancelled := o.call(context.Background(), own, http.MethodDelete, id, nil, 4*time.Second)
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return fmt.Errorf("the cancelling is answered %d", cancelled.status)
	}
	time.Sleep(cancelBound + stopBound)
	if left := o.ledger.runningOf(id); left > 0 {
		r.breach("UNASKED: %d tasks of job %s run %s after its cancelling was acknowledged with %d", left, id, cancelBound+stopBound, cancelled.status)
	}
	<-answers
	return nil
}

// lateStartAfterRebirth holds one start order up on its way, without an answer; its minion crashes, starts again, and gets it.
func lateStartAfterRebirth(r *record, root string, trouble bool) error {
	o, err := newOffice(r, root, zones, hostsPerZone, minionsPerZone)
	defer o.close()
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f9"
	var first sync.Once
	var order *call
	held := make(chan *minion, 1)
	for _, m := range o.minions {
		m.onStartCall = func(m *minion, read *call) (taken bool) {
			if !trouble {
				return false
			}
			first.Do(func() {
				taken, order = true, read
				r.line("%s: the start of task %s run %d is held up on its way, without an answer", m.id, read.Task, read.Run)
				held <- m
			})
			return taken
		}
	}
	done := make(chan answer, 1)
	go func() { done <- o.submit(context.Background(), o.hosts[0], id, 1, cpu, longestTask, 20*time.Second) }()
	if trouble {
		var m *minion
		select {
		case m = <-held:
		case <-time.After(5 * time.Second):
			return errors.New("no start was sent")
		}
		ordered := time.Now()
		time.Sleep(200 * time.Millisecond)
		m.crash()
		// Orders are carried out late by 2 to 12 s, and a crashed minion is down for at most 4.8 s.
		time.Sleep(time.Until(ordered.Add(2500 * time.Millisecond)))
		if err := m.reborn(); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
		if err := m.deliver(order); err != nil {
			return err
		}
	}
	r.line("the client got %d", (<-done).status)
	return nil
}

// cancelOnDroppedQueue has the operator drop the queue of a job that runs, and the client cancel the job afterwards.
func cancelOnDroppedQueue(r *record, root string, trouble bool) error {
	o, err := newOffice(r, root, zones, hostsPerZone, minionsPerZone)
	defer o.close()
	if err != nil {
		return err
	}
	const id = "5c0e7a21d94b36fb"
	begun := make(chan struct{}, 8)
	o.ledger.onStart = func(string, string, int) { begun <- struct{}{} }
	done := make(chan answer, 1)
	home := o.hosts[0]
	go func() { done <- o.submit(context.Background(), home, id, 2, cpu, slowestTask, 25*time.Second) }()
	if err := await(begun, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		o.configure("/dulo441/")
	} else {
		o.configure(queuePath, "/dulo441/")
	}
	time.Sleep(configBound + 200*time.Millisecond)
	since := time.Now()
	for acked := false; !acked && time.Since(since) < ackBound; time.Sleep(500 * time.Millisecond) {
		got := o.call(context.Background(), home, http.MethodDelete, id, nil, time.Second)
		acked = got.status == http.StatusOK || got.status == http.StatusGone
	}
	waited := min(time.Since(since), ackBound)
	time.Sleep(time.Until(since.Add(waited + cancelBound + stopBound)))
	if left := o.ledger.runningOf(id); left > 0 {
		r.breach("UNASKED: %d tasks of job %s run %s after its cancelling had waited %s for an acknowledgement", left, id, cancelBound+stopBound, waited)
	}
	<-done
	return nil
}

// failedByDrains has the minion of a task drain and leave, and then the one where the task goes on.
func failedByDrains(r *record, root string, trouble bool) error {
	o, err := newOffice(r, root, zones, hostsPerZone, minionsPerZone)
	defer o.close()
	if err != nil {
		return err
	}
	const id = "5c0e7a21d94b36fa"
	begun := make(chan string, 8)
	o.ledger.onStart = func(minion, _ string, _ int) { begun <- minion }
	done := make(chan answer, 1)
	go func() { done <- o.submit(context.Background(), o.hosts[0], id, 1, cpu, longestTask, 40*time.Second) }()
	for leaving := 0; trouble && leaving < 2; leaving++ {
		select {
		case id := <-begun:
			time.Sleep(time.Second)
			m := o.minion(id)
			m.drain()
			time.Sleep(drainBound + 500*time.Millisecond)
			m.leave()
		case <-time.After(8 * time.Second):
			return errors.New("the task does not start")
		}
	}
	got := <-done
	if got.status != http.StatusOK {
		return fmt.Errorf("the job is answered %d", got.status)
	}
	if strings.Contains(got.body, "failed") { // no stand-in lists an end failed, and none has crashed
		r.breach("LOST: job %s is shown as failed; no run has ended failed, no minion has crashed, and max_attempts is %d", id, maxAttempts)
	}
	return nil
}

func await(begun chan struct{}, timeout time.Duration) error {
	select {
	case <-begun:
		return nil
	case <-time.After(timeout):
		return errors.New("the job does not start")
	}
}
