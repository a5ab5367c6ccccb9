package hostile

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// patience bounds how long an ordinary caller comes back; it is no claim about the time of an answer.
	patience  = 40 * time.Second
	pollEvery = 100 * time.Millisecond
	// watchEvery is how often memory and descriptors are looked at; the kernel keeps the peak of resident memory itself.
	watchEvery = 20 * time.Millisecond
)

// binaries is the folder of the programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runWithBinaries(m))
}

func runWithBinaries(m *testing.M) int {
	directory, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
	build := exec.CommandContext(context.Background(), "go", "build", "-o", directory+"/", "chervilusher.dev/entry", "chervilusher.dev/platform")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build the programs: %s\n%s", err, output)
		return 1
	}
	return m.Run()
}

// victim is a program that runs as a process of its own and takes clients' requests.
type victim struct {
	t           *testing.T
	caller      string // address for clients
	peer        string // address for other hosts
	bodyBytes   int    // largest body that it takes
	memory      int64  // bytes that its settings allow
	descriptors int    // that its settings allow
	head        string // of a submission, up to the header fields of the body
	long        string // submission, whole, whose task runs for a while and takes little room
	wide        string // submission, whole, of as many tasks as one may have; empty where none is needed
	ask         func(ctx context.Context) (status int, err error)

	turn sync.Mutex // held by the member of a crowd that sends, where they do so one after another

	command *exec.Cmd
	log     string
	mu      sync.Mutex
	ended   error // set once the process has ended
	over    bool
}

// start runs the program and waits until it answers an ordinary request.
func (v *victim) start(program, settings string) {
	v.t.Helper()
	path := filepath.Join(v.t.TempDir(), program+".json")
	require.NoError(v.t, os.WriteFile(path, []byte(settings), 0o600))
	v.log = path + ".log"
	output, err := os.Create(v.log)
	require.NoError(v.t, err)
	v.command = exec.CommandContext(context.Background(), filepath.Join(binaries, program), "--settings", path)
	v.command.Stdout, v.command.Stderr = output, output
	require.NoError(v.t, v.command.Start())
	ended := make(chan struct{})
	go func() {
		err := v.command.Wait()
		v.mu.Lock()
		v.ended, v.over = err, true
		v.mu.Unlock()
		close(ended)
	}()
	v.t.Cleanup(func() {
		_ = v.command.Process.Kill()
		<-ended
		_ = output.Close()
		if v.t.Failed() {
			v.showLog()
		}
	})
	v.requireAnswer("before the crowd")
}

func (v *victim) showLog() {
	const tailBytes = 3000
	raw, err := os.ReadFile(v.log)
	if err == nil {
		v.t.Logf("it wrote:\n%s", raw[max(0, len(raw)-tailBytes):])
	}
}

func (v *victim) requireAlive() {
	v.t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	require.False(v.t, v.over, "the process has ended: %v", v.ended)
	require.NoError(v.t, v.command.Process.Signal(syscall.Signal(0)))
}

// requireAnswer has one ordinary request come back, as the pages have it, until it is served.
func (v *victim) requireAnswer(when string) {
	v.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var status int
	var err error
	for ctx.Err() == nil {
		v.requireAlive()
		if status, err = v.ask(ctx); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(pollEvery)
	}
	require.Fail(v.t, "an ordinary request is not served", "%s: status %d, %v", when, status, err)
}

// usage is the most that a process was seen to use.
type usage struct {
	resident    int64 // bytes, as the kernel counts the peak
	withUnread  int64 // bytes resident, and received but not read
	descriptors int
}

// watch looks at the process, and at the bytes for one of its addresses, until the returned function is called.
func (v *victim) watch(address string) (finish func() usage) {
	stop, done := make(chan struct{}), make(chan usage, 1)
	go func() {
		var most usage
		for {
			v.observe(address, &most)
			select {
			case <-stop:
				v.observe(address, &most)
				done <- most
				return
			case <-time.After(watchEvery):
			}
		}
	}()
	return func() usage {
		close(stop)
		return <-done
	}
}

func (v *victim) observe(address string, most *usage) {
	folder := fmt.Sprintf("/proc/%d", v.command.Process.Pid)
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return
	}
	most.resident = max(most.resident, kilobytesOf(status, "VmHWM:"))
	most.withUnread = max(most.withUnread, kilobytesOf(status, "VmRSS:")+unreadAt(address))
	if open, err := os.ReadDir(folder + "/fd"); err == nil {
		most.descriptors = max(most.descriptors, len(open))
	}
}

// kilobytesOf returns a line of /proc/PID/status in bytes.
func kilobytesOf(status []byte, key string) int64 {
	_, rest, _ := bytes.Cut(status, []byte(key))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.ParseInt(string(fields[0]), 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// unreadAt returns the bytes that the kernel holds for the connections that were made to an address, as /proc/net/tcp shows them.
func unreadAt(address string) int64 {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", number)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var unread int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == "0A" { // a listener's queue holds connections
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		held, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			unread += held
		}
	}
	return unread
}
