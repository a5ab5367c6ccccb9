package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// tally is what the clients and minions of a scene of many disruptions have seen.
type tally struct {
	mu       sync.Mutex
	statuses map[string][]int
	started  map[string]bool
	acked    map[string]time.Time
	bad      []string
}

// chaos draws disruptions of the given kinds, and checks TWICE, LIMIT, UNASKED and REFUSED: KINDS is a list of stop, kill, term,
// crash, dark, blink, cut, zone, store and late; LENGTH is in seconds; HOSTS and MINIONS are numbers in each zone.
func chaos(record *record, folder string, trouble bool) (bool, error) {
	length := 60 * time.Second
	if given, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = time.Duration(given) * time.Second
	}
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	direct := os.Getenv("DIRECT") != ""
	hosts, _ := strconv.Atoi(os.Getenv("HOSTS"))
	if hosts == 0 {
		hosts = 2
	}
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	o, err := newOffice(record, folder, zones, hosts, count("MINIONS", 6), direct)
	if o != nil {
		defer o.close()
	}
	if err != nil {
		return false, err
	}
	t := &tally{statuses: map[string][]int{}, started: map[string]bool{}, acked: map[string]time.Time{}}
	flag := func(format string, v ...any) {
		text := fmt.Sprintf(format, v...)
		record.note("BREACH %s", text)
		t.mu.Lock()
		t.bad = append(t.bad, text)
		t.mu.Unlock()
	}
	for _, m := range o.minions {
		m.watch = func(m *minion, task string, given *order) {
			job, _, _ := strings.Cut(task, ".")
			t.mu.Lock()
			t.started[job] = true
			at, acked := t.acked[job]
			t.mu.Unlock()
			if acked && !given.late && time.Since(at) > cancelTime { // time bounds do not hold for late orders
				flag("UNASKED %s starts %s after the cancel", task, time.Since(at))
			}
			sum := int64(0)
			for _, r := range m.running {
				sum += r.cores
			}
			if sum > 16000 {
				flag("LIMIT %s at %s %d", task, m.id, sum)
			}
			run := m.running[task]
			go func() {
				for _, other := range o.minions {
					if other == m {
						continue
					}
					other.mu.Lock()
					r := other.running[task]
					down := other.down
					other.mu.Unlock()
					m.mu.Lock()
					still := m.running[task] == run
					m.mu.Unlock()
					if r != nil && !down && still {
						flag("TWICE %s run %d at %s and run %d at %s", task, run.number, m.id, r.number, other.id)
					}
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	end := time.Now().Add(length)
	var clients sync.WaitGroup
	for c := range count("CLIENTS", 24) {
		clients.Go(func() {
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", rand.Uint64())
				lengths := []int{50, 170, 700, 700, 1500, 3000, 6000}
				ms := lengths[rand.IntN(len(lengths))]
				count := 1 + rand.IntN(4)
				body := fmt.Sprintf(`{"best_effort":true,"spec":"{\"ms\":%d,\"c\":5000}","steps":[{"count":%d,"cpu":5000,"mem_mb":64,"estimated_ms":%d}]}`, ms, count, ms)
				waits := time.Duration(1500+rand.IntN(12000)) * time.Millisecond
				until := time.Now().Add(waits)
				postCtx, stop := context.WithCancel(ctx)
				if rand.IntN(5) == 0 {
					go func() {
						time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
						for range 8 {
							status := o.send(ctx, http.MethodDelete, o.hosts[rand.IntN(len(o.hosts))], id, "", 3*time.Second)
							if status/100 == 2 || status == 410 {
								t.mu.Lock()
								t.acked[id] = time.Now()
								t.mu.Unlock()
								stop()
								return
							}
							time.Sleep(time.Second)
						}
					}()
				}
				for time.Now().Before(until) && postCtx.Err() == nil {
					status := o.send(postCtx, http.MethodPost, o.hosts[rand.IntN(len(o.hosts))], id, body, time.Until(until))
					t.mu.Lock()
					t.statuses[id] = append(t.statuses[id], status)
					t.mu.Unlock()
					if status != 0 && status != 504 && status != 502 {
						break
					}
					time.Sleep(1300 * time.Millisecond)
				}
				stop()
				time.Sleep(time.Duration(20+c) * time.Millisecond)
			}
		})
	}
	var faults sync.WaitGroup
	var one [8]sync.Mutex
	for time.Now().Before(end) && trouble {
		time.Sleep(time.Duration(100+rand.IntN(1500)) * time.Millisecond)
		kind := kinds[rand.IntN(len(kinds))]
		h := o.hosts[rand.IntN(len(o.hosts))]
		d := time.Duration(200+rand.IntN(3800)) * time.Millisecond
		faults.Go(func() {
			switch kind {
			case "stop":
				if !one[0].TryLock() {
					return
				}
				defer one[0].Unlock()
				record.note("%s freezes for %s", h.name, d)
				_ = h.command.Process.Signal(syscall.SIGSTOP)
				time.Sleep(d)
				_ = h.command.Process.Signal(syscall.SIGCONT)
			case "kill", "term":
				if !one[0].TryLock() {
					return
				}
				defer one[0].Unlock()
				record.note("%s %s", h.name, kind)
				if kind == "kill" {
					_ = h.command.Process.Kill()
				} else {
					_ = h.command.Process.Signal(syscall.SIGTERM)
				}
				_ = h.command.Wait()
				time.Sleep(d / 3)
				_ = o.start(h)
			case "crash", "dark", "blink":
				down := d
				if kind == "blink" {
					down = time.Duration(rand.IntN(100)) * time.Millisecond
				}
				m := o.minions[rand.IntN(len(o.minions))]
				if !m.isDown() {
					m.crash(down, kind == "dark")
				}
			case "cut", "zone", "store":
				if !one[1].TryLock() {
					return
				}
				defer one[1].Unlock()
				names := []string{h.name}
				if kind == "zone" {
					names = o.zone(h.zone)
				} else if kind == "store" {
					names = []string{storeName}
				}
				record.note("cut %v for %s", names, d*3/2)
				o.network.cut(names...)
				time.Sleep(d * 3 / 2)
				o.network.heal()
				record.note("healed")
			case "late":
				if !one[2].TryLock() {
					return
				}
				defer one[2].Unlock()
				record.note("late orders for %s", d)
				setLate(o, 0.3)
				time.Sleep(d)
				setLate(o, 0)
			}
		})
	}
	clients.Wait()
	faults.Wait()
	t.mu.Lock()
	for id, statuses := range t.statuses {
		refused := true
		for _, s := range statuses {
			refused = refused && s == 503
		}
		if refused && t.started[id] {
			t.bad = append(t.bad, "REFUSED "+id)
		}
	}
	counts := map[int]int{}
	for _, s := range t.statuses {
		counts[s[len(s)-1]]++
	}
	t.mu.Unlock()
	record.note("last answers %v", counts)
	fmt.Println("answers", counts, "breaches", t.bad)
	for _, h := range o.hosts {
		if err := h.command.Process.Signal(syscall.Signal(0)); err != nil {
			fmt.Println(h.name, "has ended", err)
		}
	}
	return len(t.bad) > 0, nil
}

func setLate(o *office, share float64) {
	for _, m := range o.minions {
		m.mu.Lock()
		m.lose = func(*minion, *http.Request, *order) time.Duration {
			if rand.Float64() < share {
				return time.Duration(2000+rand.IntN(10000)) * time.Millisecond
			}
			return 0
		}
		m.mu.Unlock()
	}
}

func count(name string, otherwise int) int {
	if given, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return given
	}
	return otherwise
}
