package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// What the operator's configuration says.
const (
	service   = "tri-retours"
	queueHost = "desk.example"
	queuePath = "/labels/"
	resend    = 1300 * time.Millisecond // bound resend_ms
)

// clientsHTTP opens a connection for each request, as the platform spreads connections.
var clientsHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// office is a small deployment: a store, minions, hosts as processes, and clients.
type office struct {
	store        *store
	storeAddress string
	minions      []*minion
	hosts        []*host
	folder       string
	began        time.Time

	mu       sync.Mutex
	log      *os.File
	runs     map[string]map[string]runKey // by task, then by minion
	breaches []string
	orders   int // starts and stops that minions were sent
	lost     int // of these without an answer
	late     int // of these carried out late
	lose     func(m *minion, path string, read *order) bool
	answers  map[string]int
	clients  sync.WaitGroup
}

// host is one entry host's process.
type host struct {
	name, zone, ip string
	front, ready   string
	ports          [2]int
	settings       string
	command        *exec.Cmd
	ended          chan struct{}
	office         *office
}

func newOffice(folder, record string) (*office, error) {
	log, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	o := &office{store: newStore(), folder: folder, began: time.Now(), log: log, runs: map[string]map[string]runKey{}, answers: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, o.store.handler()) }()
	config, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "labels", "host": queueHost, "path_prefix": queuePath, "service": service, "timeout_ms": 30000,
			"target_latency_ms": 60, "priority": 0, "max_attempts": 3, "stretch": 1.6,
		}},
	})
	o.store.put("keyed.op", "config", config)
	return o, nil
}

func (o *office) record(format string, values ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.note(format, values...)
}

// note is record for a caller that holds the lock.
func (o *office) note(format string, values ...any) {
	fmt.Fprintf(o.log, "%8.3f  %s\n", time.Since(o.began).Seconds(), fmt.Sprintf(format, values...))
}

// runBegins notes a run, and a breach if the task runs at another minion that is up.
func (o *office) runBegins(m *minion, key runKey, late bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	how := ""
	if late {
		how = ", carried out late"
		o.late++
	}
	o.note("task %s run %d begins at %s%s", key.task, key.run, m, how)
	if o.runs[key.task] == nil {
		o.runs[key.task] = map[string]runKey{}
	}
	for other, present := range o.runs[key.task] {
		if other != m.id {
			breach := fmt.Sprintf("TWICE: task %s run %d begins at %s while run %d is at work at %s", key.task, key.run, m.id, present.run, other)
			o.breaches = append(o.breaches, breach)
			o.note("%s", breach)
		}
	}
	o.runs[key.task][m.id] = key
}

func (o *office) runEnds(m *minion, key runKey, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.note("task %s run %d ends at %s: %s", key.task, key.run, m.id, how)
	if o.runs[key.task][m.id] == key {
		delete(o.runs[key.task], m.id)
	}
}

// loses reports whether an order is to get no answer.
func (o *office) loses(m *minion, path string, read *order) bool {
	o.mu.Lock()
	o.orders++
	lose := o.lose
	o.mu.Unlock()
	if lose == nil || !lose(m, path, read) {
		return false
	}
	o.record("%s %s run %d to %s gets no answer", path, read.Task, read.Run, m)
	o.mu.Lock()
	o.lost++
	o.mu.Unlock()
	return true
}

func (o *office) addMinion(id, zone string, cpu int64) error {
	m := &minion{id: id, zone: zone, address: "127.0.0.1:0", cpu: cpu, office: o}
	if err := m.start(); err != nil {
		return err
	}
	o.minions = append(o.minions, m)
	go func() {
		for {
			time.Sleep(beat)
			m.register("ready")
		}
	}()
	return nil
}

func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// addHost writes a host's settings from the template of the deploy file and starts its process.
func (o *office) addHost(name, zone, ip string) (*host, error) {
	var ports [4]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	h := &host{name: name, zone: zone, ip: ip, office: o, settings: filepath.Join(o.folder, name+".json")}
	h.front, h.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	h.ports = [2]int{ports[2], ports[3]}
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, err
	}
	quote := func(text string) string { return strconv.Quote(text) }
	text := strings.NewReplacer(
		"{{node_name|json}}", quote(name), "{{zone|json}}", quote(zone), "{{listen_addrs.front|json}}", quote(h.front),
		"{{listen_addrs.ready|json}}", quote(h.ready), "{{ip}}", ip, "{{internal_port_range.0}}", strconv.Itoa(ports[2]),
		"{{internal_port_range.1}}", strconv.Itoa(ports[3]), "{{platform.address|json}}", quote(o.storeAddress),
		"{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100", "{{bounds.max_hold_ms}}", "1000", "{{bounds.grace_s}}", "6",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("a placeholder of the template is unknown: %s", text)
	}
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	o.hosts = append(o.hosts, h)
	return h, h.start()
}

func (h *host) start() error {
	output, err := os.OpenFile(filepath.Join(h.office.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILUSHER_BOOT=" + h.settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	h.office.record("host %s starts", h.name)
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

func (h *host) signal(signal syscall.Signal) {
	h.office.record("host %s gets %s", h.name, signal)
	_ = h.command.Process.Signal(signal)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (o *office) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range o.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(o.hosts) {
			return true
		}
	}
	return false
}

// close ends all processes.
func (o *office) close() {
	for _, h := range o.hosts {
		_ = h.command.Process.Kill()
		<-h.ended
	}
}

// submit sends a job as a client does: again after 1.3 s when its connection breaks or it gets 502 or 504, to any host, as
// long as it waits.
func (o *office) submit(count int, cpu, milliseconds int64, wait time.Duration) (id string) {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	id = hex.EncodeToString(raw)
	spec, _ := json.Marshal(work{Milliseconds: milliseconds})
	body, _ := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": true,
		"steps": []map[string]any{{"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": milliseconds}},
	})
	o.clients.Go(func() {
		until := time.Now().Add(wait)
		for try := 1; time.Until(until) > 100*time.Millisecond; try++ {
			at := o.hosts[mathrand.IntN(len(o.hosts))]
			answer, again := o.post(at, id, body, time.Until(until))
			o.record("job %s try %d at %s: %s", id, try, at.name, answer)
			if !again {
				o.mu.Lock()
				o.answers[answer]++
				o.mu.Unlock()
				return
			}
			time.Sleep(resend)
		}
		o.mu.Lock()
		o.answers["none in time"]++
		o.mu.Unlock()
	})
	return id
}

func (o *office) post(at *host, id string, body []byte, wait time.Duration) (answer string, again bool) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.front+queuePath+id, bytes.NewReader(body))
	if err != nil {
		return err.Error(), false
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chervilusher-Deadline-Remaining", strconv.FormatInt(wait.Milliseconds(), 10))
	response, err := clientsHTTP.Do(request)
	if err != nil {
		return "broken", true
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "broken", true
	}
	again = response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout
	return fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(text))), again
}
