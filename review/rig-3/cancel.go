package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// contact, cancelTime and stopBound are contact_ms, cancel_ms and stop_ms of the site.
	contact    = 3 * time.Second
	cancelTime = 3 * time.Second
	stopBound  = 50 * time.Millisecond
	// cutTime is how long the zone is cut off in the first round; the site's days have up to 6.2 s.
	cutTime = 3700 * time.Millisecond
	// cutStep is how much longer each further cut takes.
	cutStep = 30 * time.Millisecond
	// moveAfter is when half of the zone's clients move to another zone, as the site's clients do for up to 6.5 s.
	moveAfter = 2 * time.Second
	// taskTime is how long each task works, as the longest of order-validate (8.1 s) on the slowest kind of minion (1.7).
	taskTime = 13800 * time.Millisecond
	// rounds bounds the cuts of one scene, which ends with the first broken one.
	rounds = 3
	// jobsPerRound is the number of jobs that run in the zone.
	jobsPerRound = 24
)

// longJob is a job of one task of so long.
func longJob(length time.Duration) string {
	return fmt.Sprintf(`{"best_effort":true,"spec":"{\"ms\":%d}","steps":[{"count":1,"cpu":6800,"mem_mb":64,"estimated_ms":%d}]}`,
		length.Milliseconds(), length.Milliseconds())
}

// hasMoved reports whether the client of that number moves, as half of them do.
func hasMoved(client int) bool { return client%2 == 0 }

// isCancelled reports whether the client of that number cancels its job: three in eight do, two of them after their move.
func isCancelled(client int) bool { return slices.Contains([]int{0, 2, 5}, client%8) }

// cancelInCut has jobs run in a zone that is cut off for some seconds. Half of its clients move to another zone meanwhile, and
// some of all clients cancel their jobs.
func cancelInCut(record *record, folder string, trouble bool) (isBroken bool, err error) {
	o, err := newOffice(record, folder, []string{"sapporo", "asahikawa", "hakodate"}, 2, 16, false)
	if o != nil {
		defer o.close()
	}
	if err != nil {
		return false, err
	}
	for round := 0; round < rounds && !isBroken; round++ {
		time.Sleep(contact)
		if isBroken, err = o.cancelInCut(round, trouble); err != nil {
			return false, err
		}
	}
	return isBroken, nil
}

func (o *office) cancelInCut(round int, trouble bool) (isBroken bool, err error) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	ids := make([]string, jobsPerRound)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", 0xc0de0000+round<<8+i)
		go o.send(ctx, http.MethodPost, o.hostOf("sapporo"), ids[i], longJob(taskTime), callerWaits)
	}
	time.Sleep(time.Second)
	for _, id := range ids {
		if len(o.running(id)) == 0 {
			return false, fmt.Errorf("job %s does not run", id)
		}
	}
	began, takes := time.Now(), cutTime+time.Duration(round)*cutStep
	if trouble {
		o.record.note("zone sapporo is cut off for %s", takes)
		o.network.cut(o.zone("sapporo")...)
		time.AfterFunc(takes, func() {
			o.record.note("the cut has healed")
			o.network.heal()
		})
	}
	time.Sleep(moveAfter)
	acknowledged := make([]bool, len(ids))
	var clients sync.WaitGroup
	for i, id := range ids {
		if !isCancelled(i) {
			continue
		}
		clients.Go(func() {
			at := o.hostOf("sapporo")
			if hasMoved(i) {
				at = o.hostOf("asahikawa")
			}
			for time.Since(began) < takes {
				status := o.send(ctx, http.MethodDelete, at, id, "", callerWaits)
				if acknowledged[i] = status/100 == 2 || status == http.StatusGone; acknowledged[i] {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Until(began.Add(takes + contact)))
	o.record.note("from here on nothing is disrupted")
	time.Sleep(cancelTime + stopBound)
	for i, id := range ids {
		if at := o.running(id); acknowledged[i] && len(at) > 0 {
			o.record.note("job %s, whose cancelling was acknowledged, still runs at %v", id, at)
			isBroken = true
		}
	}
	return isBroken, nil
}
