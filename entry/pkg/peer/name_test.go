package peer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
)

func TestAddresses(t *testing.T) {
	for address, sound := range map[string]bool{
		"10.0.0.9:8080":                     true,
		"127.0.0.1:1":                       true,
		"[::1]:65535":                       true,
		"[fe80::1]:80":                      true,
		"localhost:8080":                    true,
		"worker-1:8080":                     true,
		"worker_7.rack-2.example.:8080":     true,
		strings.Repeat("a", 63) + ".x:8080": true,

		"":                                   false,
		"10.0.0.9":                           false,
		"10.0.0.9:":                          false,
		"10.0.0.9:0":                         false,
		"10.0.0.9:-1":                        false,
		"10.0.0.9:+80":                       false,
		"10.0.0.9:65536":                     false,
		"10.0.0.9:99999":                     false,
		"10.0.0.9:http":                      false,
		"10.0.0.9:80 ":                       false,
		"10.0.0.9:80/x":                      false,
		"10.0.0.9:80:80":                     false,
		":8080":                              false,
		"10.0.0.256:80":                      false,
		"010.0.0.1:80":                       false,
		"10.0.0.0x9:80":                      false,
		"::1:80":                             false,
		"[fe80::1%eth0]:80":                  false,
		"[::g]:80":                           false,
		"user@10.0.0.9:80":                   false,
		"10.0.0.9/x?y=:80":                   false,
		"a b:80":                             false,
		"a\r\nHost:80":                       false,
		"a\x00b:80":                          false,
		"\xff:80":                            false,
		"\ufffd:80":                          false,
		"bücher:80":                          false,
		"-a:80":                              false,
		"a-:80":                              false,
		"a..b:80":                            false,
		".:80":                               false,
		strings.Repeat("a", 64) + ":8080":    false,
		strings.Repeat("a.", 200) + "b:80":   false,
		strings.Repeat("9", 1<<18) + ":80":   false,
		"10.0.0.9:" + strings.Repeat("9", 9): false,
	} {
		err := CheckAddress(address)
		require.Equal(t, sound, err == nil, "%.40q: %v", address, err)
		if err != nil {
			require.Less(t, len(err.Error()), 2000)
		}
	}
}

// TestOddEntryNamesNoWorker guards against a worker that nobody can call, and against capacities whose sums overflow.
func TestOddEntryNamesNoWorker(t *testing.T) {
	sound := WorkerInfo{ID: "i-1", Address: "10.0.0.9:8080", FailureDomain: "north", Group: "desk", Capacity: cell.Resources{Cores: 16000, Memory: 32768}}
	require.NoError(t, sound.Check())
	long := strings.Repeat("x", 1<<18)
	for name, spoil := range map[string]func(worker *WorkerInfo){
		"no name":               func(worker *WorkerInfo) { worker.ID = "" },
		"name that is no text":  func(worker *WorkerInfo) { worker.ID = "i-\xff" },
		"name with a line":      func(worker *WorkerInfo) { worker.ID = "i-1\r\nX: y" },
		"port out of range":     func(worker *WorkerInfo) { worker.Address = "10.0.0.9:99999" },
		"no domain":             func(worker *WorkerInfo) { worker.FailureDomain = "" },
		"long domain":           func(worker *WorkerInfo) { worker.FailureDomain = long },
		"long group":            func(worker *WorkerInfo) { worker.Group = long },
		"long rack":             func(worker *WorkerInfo) { worker.Rack = long },
		"long kind":             func(worker *WorkerInfo) { worker.Kind = long },
		"cores out of range":    func(worker *WorkerInfo) { worker.Capacity.Cores = 1<<63 - 1 },
		"memory out of range":   func(worker *WorkerInfo) { worker.Capacity.Memory = 1<<40 + 1 },
		"negative accelerators": func(worker *WorkerInfo) { worker.Capacity.Accelerators = -1 },
	} {
		odd := sound
		spoil(&odd)
		require.Error(t, odd.Check(), name)
	}
	for _, capacity := range []cell.Resources{{}, {Cores: 1 << 40, Memory: 1 << 40, Accelerators: 1 << 40}} {
		sound.Capacity = capacity
		require.NoError(t, sound.Check())
	}
}
