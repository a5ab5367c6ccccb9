package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	queueHost = "nony24.example"
	queuePath = "/lohu930/"
	// maxAttempts is that of order-validate.
	maxAttempts = 4
)

// host is one process of the program under review.
type host struct {
	name, zone            string
	caller, ready, peer   string
	settings, log, binary string
	record                *record
	command               *exec.Cmd
	ended                 chan struct{}
}

// office is a small deployment: the store, minions and hosts.
type office struct {
	record  *record
	store   *store
	ledger  *ledger
	minions []*minion
	hosts   []*host
	folder  string
	version int
	given   map[string]bool // addresses that were given to hosts
}

// newOffice starts zones with so many hosts and minions each; root is the repository.
func newOffice(r *record, root string, zones []string, hosts, minions int) (*office, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	o := &office{record: r, store: newStore(r), ledger: newLedger(r), folder: folder, given: map[string]bool{}}
	o.configure(queuePath)
	for _, zone := range zones {
		for i := range minions {
			m, err := newMinion(o.store, o.ledger, fmt.Sprintf("minion-%s-%d", zone, i+1), zone, 16000)
			if err != nil {
				return o, err
			}
			o.minions = append(o.minions, m)
		}
	}
	loopback := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for _, zone := range zones {
		for i := range hosts {
			h, err := o.newHost(root, loopback, fmt.Sprintf("front-%s-%d", zone, i+1), zone)
			if err != nil {
				return o, err
			}
			o.hosts = append(o.hosts, h)
		}
	}
	for _, h := range o.hosts {
		if err := h.start(); err != nil {
			return o, err
		}
	}
	return o, o.awaitReady(20 * time.Second)
}

// minion returns the minion of that id.
func (o *office) minion(id string) *minion {
	for _, each := range o.minions {
		if each.id == id {
			return each
		}
	}
	return nil
}

// configure writes the next version of the operator's configuration, with routes of these prefixes.
func (o *office) configure(prefixes ...string) {
	o.version += 3
	routes := make([]string, 0, len(prefixes))
	for i, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(
			`{"name":"queue%d","host":%q,"path_prefix":%q,"service":"desk","route_type":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":2,"max_attempts":%d,"stretch":1.6}`,
			i, queueHost, prefix, maxAttempts))
	}
	o.record.line("operator: version %d with the prefixes %v", o.version, prefixes)
	o.store.put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":"desk","admission_check":false}],"limits":{"max_body_bytes":262144}}`,
		o.version, strings.Join(routes, ",")))
}

func (o *office) newHost(root, loopback, name, zone string) (*host, error) {
	var addresses [4]string
	for i := 0; i < len(addresses); {
		// Below the ports that the system gives to outgoing connections, which a host that is down would lose its port to.
		address := fmt.Sprintf("%s:%d", loopback, 20000+rand.IntN(10000))
		if o.given[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		o.given[address] = true
		addresses[i] = address
		i++
	}
	storeAddress, err := o.store.serveFor(name)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, zone: zone, caller: addresses[0], ready: addresses[1], peer: addresses[2], record: o.record,
		settings: filepath.Join(o.folder, name+".json"), log: filepath.Join(o.folder, name+".log"), binary: filepath.Join(root, "target", "platform"),
	}
	text := fmt.Sprintf(`{"name":%q,"place":%q,"caller":%q,"ready":%q,"peer":%q,"metrics":%q,"store":%q,"share":0.4,"memory":284,"lease":"1000ms","grace":"6s","log":{"level":"info"}}`,
		name, zone, h.caller, h.ready, h.peer, addresses[3], storeAddress)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) start() error {
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command(h.binary)
	h.command.Env = append(os.Environ(), "CHERVILUSHER_BOOT="+h.settings)
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return err
	}
	children.add(h.command.Process)
	h.record.line("%s: process starts", h.name)
	ended, command := make(chan struct{}), h.command
	h.ended = ended
	go func() {
		err := command.Wait()
		h.record.line("%s: process ends: %v", h.name, err)
		_ = output.Close()
		close(ended)
	}()
	return nil
}

func (h *host) signal(signal syscall.Signal) {
	h.record.line("%s: gets %s", h.name, signal)
	_ = h.command.Process.Signal(signal)
}

// isReady asks as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (o *office) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, h := range o.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(o.hosts) {
			return nil
		}
	}
	return errors.New("the hosts do not become ready")
}

// close ends all processes that were started.
func (o *office) close() {
	for _, h := range o.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Kill()
		<-h.ended
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", o.folder)
		return
	}
	_ = os.RemoveAll(o.folder)
}

// answer is what a client saw: status 0 is no answer.
type answer struct {
	status int
	body   string
}

// submit sends a best-effort job of equal tasks and waits for its answer.
func (o *office) submit(ctx context.Context, h *host, id string, tasks, cpu, milliseconds int, patience time.Duration) answer {
	body := fmt.Sprintf(`{"best_effort":true,"spec":"{\"ms\":%d}","steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimated_ms":%d}]}`, milliseconds, tasks, cpu, milliseconds)
	return o.call(ctx, h, http.MethodPost, id, []byte(body), patience)
}

// call makes one call of a client, on a connection of its own.
func (o *office) call(ctx context.Context, h *host, method, id string, body []byte, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller+queuePath+id, bytes.NewReader(body))
	if err != nil {
		return answer{body: err.Error()}
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chervilusher-Deadline-Remaining", fmt.Sprint(patience.Milliseconds()))
	o.record.line("client: %s %s to %s %s", method, id, h.name, body)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		o.record.line("client: %s %s to %s: no answer: %v", method, id, h.name, err)
		return answer{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	o.record.line("client: %s %s to %s: %d %s", method, id, h.name, response.StatusCode, bytes.TrimSpace(raw))
	return answer{status: response.StatusCode, body: string(raw)}
}
