package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// counterPrefix starts the names of the daemon's own metrics.
const counterPrefix = "chervilusher_"

// Cost is what a process has used since its start.
type Cost struct {
	CPU    time.Duration
	Memory int64 // bytes, the most that was resident
	Bytes  int64 // read and written, over all connections
}

// Cost reads what the process has used from /proc.
func (p *Process) Cost() (Cost, error) {
	pid := p.pid()
	cpu, err := readCPU(pid)
	if err != nil {
		return Cost{}, err
	}
	memory, err := readField(fmt.Sprintf("/proc/%d/status", pid), "VmHWM:")
	if err != nil {
		return Cost{}, err
	}
	in, err := readField(fmt.Sprintf("/proc/%d/io", pid), "rchar:")
	if err != nil {
		return Cost{}, err
	}
	out, err := readField(fmt.Sprintf("/proc/%d/io", pid), "wchar:")
	return Cost{CPU: cpu, Memory: memory * 1024, Bytes: in + out}, err
}

func readCPU(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	// The fields after the name, which may hold spaces, start with the state; user and system time are 11 and 12 after it.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime = 11, 12
	if len(fields) <= systemTime {
		return 0, errors.New("unreadable process status")
	}
	user, _ := strconv.ParseInt(fields[userTime], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTime], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

func readField(path, name string) (int64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == name {
			value, err := strconv.ParseInt(fields[1], 10, 64)
			return value, errors.WithStack(err)
		}
	}
	return 0, errors.Errorf("%s has no field %s", path, name)
}

// Counters reads the daemon's own counters, by name with labels.
func (p *Process) Counters(ctx context.Context) (map[string]float64, error) {
	counters := map[string]float64{}
	_, err := p.get(ctx, "/metrics", func(body io.Reader) {
		lines := bufio.NewScanner(body)
		for lines.Scan() {
			at := strings.LastIndexByte(lines.Text(), ' ')
			if at < 0 || !strings.HasPrefix(lines.Text(), counterPrefix) {
				continue
			}
			if value, err := strconv.ParseFloat(lines.Text()[at+1:], 64); err == nil {
				counters[lines.Text()[:at]] = value
			}
		}
	})
	return counters, err
}

func (p *Process) get(ctx context.Context, path string, read func(io.Reader)) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addresses.Operator+path, nil)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if read != nil {
		read(response.Body)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}
