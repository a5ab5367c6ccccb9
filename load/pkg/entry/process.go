package entry

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/load/pkg/experiment"
)

// Times of a process's start.
const (
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// Process is one entry host that this program started.
type Process struct {
	Host      experiment.Entry
	Addresses Addresses
	program   string
	settings  string
	logPath   string
	client    *http.Client

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// New writes a host's settings into the directory; Start runs the program with them.
func New(program, directory string, host experiment.Entry, addresses Addresses, common experiment.EntrySettings, client *http.Client) (*Process, error) {
	settings, err := writeSettings(directory, host, addresses, common)
	if err != nil {
		return nil, err
	}
	return &Process{
		Host:      host,
		Addresses: addresses,
		program:   program,
		settings:  settings,
		logPath:   filepath.Join(directory, host.Name+".log"),
		client:    client,
	}, nil
}

// Start runs the program; its log is appended to a file beside its settings.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = output.Close() }()
	command := exec.CommandContext(context.Background(), p.program, "--settings", p.settings)
	command.Stdout = output
	command.Stderr = output
	if err = command.Start(); err != nil {
		return errors.Wrapf(err, "cannot start entry host %s", p.Host.Name)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = command.Wait()
	}()
	p.command = command
	p.ended = ended
	return nil
}

// AwaitReady returns when the host says that it is ready.
func (p *Process) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, err := p.get(ctx, "/ready", nil)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("entry host %s is not ready after %s (status %d, %v); see %s", p.Host.Name, readyTimeout, status, err, p.logPath)
		case <-time.After(readyPoll):
		}
	}
}

// Signal does to the process what the experiment asks.
func (p *Process) Signal(signal experiment.Signal) error {
	switch signal {
	case experiment.SignalKill:
		return p.send(syscall.SIGKILL)
	case experiment.SignalStop:
		return p.send(syscall.SIGTERM)
	case experiment.SignalFreeze:
		return p.send(syscall.SIGSTOP)
	case experiment.SignalThaw:
		return p.send(syscall.SIGCONT)
	case experiment.SignalStart:
		return p.Start()
	default:
		return errors.Errorf("signal is %q", signal)
	}
}

// Close ends the process at once; its work is over and nothing of it is kept.
func (p *Process) Close() {
	if p.pid() == 0 {
		return
	}
	_ = p.send(syscall.SIGKILL)
	<-p.ended
}

func (p *Process) send(signal os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return errors.Errorf("entry host %s does not run", p.Host.Name)
	}
	return errors.WithStack(p.command.Process.Signal(signal))
}

func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}
