package yard

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/standin/pkg/relay"
)

// readyTimeout bounds one question for readiness.
const readyTimeout = 500 * time.Millisecond

// Host is one entry host's process.
type Host struct {
	Name    string
	Caller  string       // its address for callers
	Inward  *relay.Relay // other hosts to this one
	ToStore *relay.Relay

	ready    string
	builds   builds
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// builds are the programs of one host, which is upgraded by its first start anew.
type builds struct {
	previous string // empty if there is none
	current  string
	started  bool
}

// next returns the program of the next start.
func (b *builds) next() string {
	first := !b.started
	b.started = true
	if first && b.previous != "" {
		return b.previous
	}
	return b.current
}

// Start starts the process, whose last one must have ended.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	output, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	command := exec.CommandContext(context.Background(), h.builds.next(), "--settings", h.settings)
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return errors.WithStack(err)
	}
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(signal) // it may have ended
}

// Await waits until the process has ended, and reports false after the timeout.
func (h *Host) Await(timeout time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process, also when it is stopped.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	h.Await(time.Second)
}

// Pause stops the process, and reports whether all of its threads stand still within the timeout; SIGCONT lets it go on.
func (h *Host) Pause(timeout time.Duration) bool {
	h.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if h.IsPaused() {
			return true
		}
	}
	return false
}

// IsPaused reports whether all threads of the process are stopped by a signal.
func (h *Host) IsPaused() bool {
	h.mu.Lock()
	pid := h.command.Process.Pid
	h.mu.Unlock()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	return !slices.ContainsFunc(threads, func(path string) bool {
		raw, err := os.ReadFile(path)
		_, state, found := bytes.Cut(raw, []byte(") ")) // after the name of the thread
		return err != nil || !found || !bytes.HasPrefix(state, []byte("T"))
	})
}

// IsReady asks the host whether it should get connections.
func (h *Host) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/-/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Logged reports whether a line of the host's log holds the text.
func (h *Host) Logged(text string) bool {
	raw, err := os.ReadFile(h.settings + ".log")
	return err == nil && bytes.Contains(raw, []byte(text))
}
