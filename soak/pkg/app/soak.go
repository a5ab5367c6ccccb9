package app

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"chervilusher.dev/soak/pkg/faults"
	"chervilusher.dev/soak/pkg/yard"
)

const (
	// startTimeout bounds how long the hosts may take to become ready at the start, and again after all is mended.
	startTimeout = 15 * time.Second
	// quietTime is how long after the last answer nothing may run any more: a lease, and the time to stop.
	quietTime = 2 * time.Second
	// orderTime is how long an order of the operator may take until all hosts keep to it; the platform allows 5 s.
	orderTime = time.Second
	// probes is how many jobs are sent one by one after all is mended, and probesServed how many must be served.
	probes       = 20
	probesServed = 18
)

// Settings of one soak.
type Settings struct {
	Yard   yard.Settings
	Stops  time.Duration // of planned stops alone, before the faults; 0 for none
	Length time.Duration // of the faults
	Gap    time.Duration // mean time between two jobs
	Unread time.Duration // mean time between two jobs that a host reads after the reset of their connection; 0 for none
}

// Result is what a soak saw.
type Result struct {
	Planned  map[string]int // answers beside planned stops, by status; 0 counts those without
	Outcomes map[string]int // answers beside faults
	Breaches []string
}

// Run breaks a yard for a while, mends it, and returns what was broken of what must hold.
func Run(settings Settings, out io.Writer) (*Result, error) {
	under, err := yard.New(settings.Yard)
	if err != nil {
		return nil, err
	}
	defer under.Close()
	if err := under.AwaitReady(startTimeout); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	began := time.Now()
	log := func(format string, values ...any) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(out, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
	}
	sending := newCallers(under, settings.Yard.Seed)
	breaker := faults.New(under, settings.Yard.Seed, log)
	result := &Result{}
	if settings.Stops > 0 {
		result.Planned, result.Breaches = plannedStops(under, breaker, settings.Yard.Seed, settings.Stops)
	}
	breaking, stop := context.WithTimeout(context.Background(), settings.Length)
	defer stop()
	calling, stopCalling := context.WithCancel(context.Background())
	defer stopCalling()
	var calls sync.WaitGroup
	calls.Go(func() { sending.run(calling, settings.Gap) })
	unread := newCallers(under, settings.Yard.Seed)
	unread.sent = unreadIDs
	if settings.Unread > 0 {
		calls.Go(func() { unread.runUnread(calling, breaker, settings.Unread, log) })
	}
	breaker.Run(breaking)
	stopCalling()
	calls.Wait()
	result.Outcomes = sending.outcomes
	result.Breaches = append(result.Breaches, recovery(under, sending)...)
	result.Breaches = append(result.Breaches, sending.breaches...)
	result.Breaches = append(result.Breaches, unread.breaches...)
	result.Breaches = append(result.Breaches, under.Ledger.Breaches()...)
	return result, nil
}

// recovery checks that nothing runs any more and that jobs are served again.
func recovery(under *yard.Yard, sending *callers) []string {
	var breaches []string
	time.Sleep(quietTime)
	if running := under.Ledger.Running(); running > 0 {
		breaches = append(breaches, fmt.Sprintf("%d tasks run that nobody waits for", running))
	}
	if err := under.AwaitReady(startTimeout); err != nil {
		return append(breaches, err.Error())
	}
	breaches = append(breaches, probe(under, sending, "after all is mended")...)
	return append(breaches, evacuation(under, sending)...)
}

// evacuation checks that an evacuated place gets nothing new while jobs are served elsewhere, and work once it is taken
// back.
func evacuation(under *yard.Yard, sending *callers) []string {
	place := under.Workers[0].Place
	under.Evacuate(place, true)
	time.Sleep(orderTime)
	before := under.StartsIn(place)
	breaches := probe(under, sending, "beside an evacuated place")
	if started := under.StartsIn(place) - before; started > 0 {
		breaches = append(breaches, fmt.Sprintf("%d tasks start in an evacuated place", started))
	}
	under.Evacuate(place, false)
	time.Sleep(orderTime)
	breaches = append(breaches, probe(under, sending, "after the place was taken back")...)
	if under.StartsIn(place) == before {
		breaches = append(breaches, "a place that was taken back gets no tasks")
	}
	return breaches
}

// probe sends jobs one by one, of which nearly all have to be served.
func probe(under *yard.Yard, sending *callers, when string) []string {
	served := 0
	for i := range probes {
		drawn := sending.draw()
		drawn.leaving = 0
		if sending.post(&drawn, under.Hosts[i%len(under.Hosts)]) == 200 {
			served++
		}
	}
	if served < probesServed {
		return []string{fmt.Sprintf("only %d of %d jobs are served %s", served, probes, when)}
	}
	return nil
}
