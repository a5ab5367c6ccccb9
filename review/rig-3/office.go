package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service   = "order-desk"
	queueHost = "desk.example"
	prefix    = "/hold/"
	storeName = "store"
	// beat is heartbeat_ms; a minion's entry is removed after three of them without a word.
	beat = 1500 * time.Millisecond
	// callerWaits is how long clients of long tasks wait, as their requests say.
	callerWaits = 40 * time.Second
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// office is a small deployment: a store, minions, and hosts that run the program of the deploy file.
type office struct {
	record  *record
	network *network
	store   *store
	folder  string
	minions []*minion
	hosts   []*host
	direct  bool // there are no links to minions
	stop    chan struct{}
}

type host struct {
	name, zone, front, ready string
	command                  *exec.Cmd
}

// newOffice starts a deployment of so many hosts and minions in each zone.
func newOffice(record *record, folder string, zones []string, hosts, minions int, direct bool) (*office, error) {
	o := &office{record: record, network: newNetwork(), store: newStore(), folder: folder, stop: make(chan struct{}), direct: direct}
	o.store.put("keyed.op", "config", fmt.Appendf(nil, `{"version":3,"routes":[{"name":"slot-hold","host":%q,"path_prefix":%q,"service":%q,"timeout_ms":1500,`+
		`"target_latency_ms":60,"priority":0,"max_attempts":3,"stretch":1.6}],"services":[{"name":%q}],"limits":{}}`, queueHost, prefix, service, service))
	for _, zone := range zones {
		for range minions {
			added := newMinion(fmt.Sprintf("i-%02d", len(o.minions)), zone, record)
			added.out = &minionServer{address: "127.0.0.1:0", handler: added.handler()}
			var err error
			if added.out.address, err = freeAddress(); err != nil {
				return nil, err
			}
			if err := added.out.start(); err != nil {
				return nil, err
			}
			added.address = added.out.address
			o.minions = append(o.minions, added)
			go o.beat(added)
		}
	}
	for _, zone := range zones {
		for index := range hosts {
			if err := o.addHost(fmt.Sprintf("front-%s-%d", zone, index+1), zone); err != nil {
				return o, err
			}
		}
	}
	return o, o.awaitReady()
}

func serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// beat keeps the minion's entry in the store, unless the two are partitioned.
func (o *office) beat(m *minion) {
	last, listed := time.Now(), false
	next := time.Now()
	for {
		if !m.isDown() && !o.network.blocked(m.id, storeName) {
			if !time.Now().Before(next) {
				o.store.put("keyed.servers", m.id, m.entry())
				last, listed = time.Now(), true
				next = last.Add(beat)
			}
		} else if listed && time.Since(last) > 3*beat {
			o.store.put("keyed.servers", m.id, nil)
			listed = false
		}
		select {
		case <-o.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// given are the ports that freeAddress has returned.
var given = map[int]bool{}

// freeAddress returns an address on which nothing listens, below the ports that the system gives to connections.
func freeAddress() (string, error) {
	for range 100 {
		port := 12000 + os.Getpid()%18*1000 + rand.IntN(1000) // so that two scenes at a time do not meet
		if given[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			given[port] = true
			defer func() { _ = listener.Close() }()
			return listener.Addr().String(), nil
		}
	}
	return "", errors.New("no free port")
}

// addHost starts the program with the settings that the template of the deploy file makes; other hosts reach it through a link.
func (o *office) addHost(name, zone string) error {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
	}
	storeAddress, err := serve(o.store.handler(o.translationFor(name)))
	if err != nil {
		return err
	}
	storeAddress = o.network.link(name, storeName, storeAddress)
	settings, err := json.Marshal(map[string]any{
		"name": name, "place": zone, "caller": addresses[0], "ready": addresses[1], "peer": addresses[2], "metrics": addresses[3],
		"store": storeAddress, "share": 0.4, "memory": 284, "descriptors": 4100, "order": "share", "apart": true,
		"lease": "1000ms", "grace": "6s", "log": map[string]string{"level": "info"},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(o.folder, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	added := &host{name: name, zone: zone, front: addresses[0], ready: addresses[1]}
	o.hosts = append(o.hosts, added)
	return o.start(added)
}

// start starts the host's process.
func (o *office) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(o.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/platform")
	h.command.Env = append(os.Environ(), "CHERVILUSHER_BOOT="+filepath.Join(o.folder, h.name+".json"))
	h.command.Stdout, h.command.Stderr = log, log
	startedMu.Lock()
	defer startedMu.Unlock()
	if err := h.command.Start(); err != nil {
		return err
	}
	started = append(started, h.command.Process)
	return nil
}

var (
	startedMu sync.Mutex
	started   []*os.Process // all hosts' processes
)

// killAll ends all processes that were started, and keeps others from being started.
func killAll() {
	startedMu.Lock() // never released
	for _, process := range started {
		_ = process.Signal(syscall.SIGCONT)
		_ = process.Kill()
	}
}

// translationFor has a host reach the others by links of its own.
func (o *office) translationFor(reader string) translation {
	return func(topic, key string, value []byte) []byte {
		if len(value) == 0 || key == reader || topic != "keyed.hosts" && (topic != "keyed.servers" || o.direct) {
			return value
		}
		var entry map[string]any
		if err := json.Unmarshal(value, &entry); err != nil {
			return value
		}
		entry["address"] = o.network.link(reader, key, entry["address"].(string))
		translated, err := json.Marshal(entry)
		if err != nil {
			return value
		}
		return translated
	}
}

func (o *office) awaitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, h := range o.hosts {
		for {
			if h.isReady() {
				break
			}
			if time.Now().After(until) {
				return errors.New("host " + h.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// anyReady reports whether a host of the zone is ready.
func (o *office) anyReady(zone string) bool {
	return slices.ContainsFunc(o.hosts, func(h *host) bool { return h.zone == zone && h.isReady() })
}

// close ends all processes that the office has started.
func (o *office) close() {
	close(o.stop)
	killAll()
}

// kill ends a host's process at once; it starts again after a time.
func (o *office) kill(name string, restart time.Duration) {
	for _, h := range o.hosts {
		if h.name != name {
			continue
		}
		o.record.note("host %s is killed", name)
		_ = h.command.Process.Kill()
		go func() {
			_ = h.command.Wait()
			time.Sleep(restart)
			if err := o.start(h); err != nil {
				o.record.note("host %s does not start: %v", name, err)
			}
		}()
	}
}

// zone returns the names of the hosts and minions of a zone.
func (o *office) zone(zone string) []string {
	var names []string
	for _, h := range o.hosts {
		if h.zone == zone {
			names = append(names, h.name)
		}
	}
	for _, m := range o.minions {
		if m.zone == zone {
			names = append(names, m.id)
		}
	}
	return names
}

// hostOf returns the first host of a zone.
func (o *office) hostOf(zone string) *host {
	for _, h := range o.hosts {
		if h.zone == zone {
			return h
		}
	}
	return nil
}

// send makes one request of a client to a host on a connection of its own, and returns the status, or 0 without an answer.
func (o *office) send(ctx context.Context, method string, to *host, id string, body string, waits time.Duration) int {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chervilusher-Deadline-Remaining", fmt.Sprint(waits.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waits}
	o.record.note("client: %s %s to %s", method, id, to.name)
	response, err := client.Do(request)
	if err != nil {
		o.record.note("client: %s %s has no answer: %v", method, id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	o.record.note("client: %s %s is answered %d %s", method, id, response.StatusCode, strings.TrimSpace(string(answer)))
	return response.StatusCode
}

// running returns on which minions tasks of the job run.
func (o *office) running(id string) []string {
	var found []string
	for _, m := range o.minions {
		for _, task := range m.tasks() {
			if strings.HasPrefix(task, id+".") {
				found = append(found, m.id)
			}
		}
	}
	return found
}
