package worker

import (
	"time"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/standin/pkg/minion"
	"chervilusher.dev/standin/pkg/task"
)

// Settings of one worker.
type Settings struct {
	Name         string            `json:"name"`
	Listen       string            `json:"listen"` // host:port
	Cores        float64           `json:"cores,omitempty"`
	Memory       int64             `json:"memory,omitempty"` // bytes
	Accelerators int               `json:"accelerators,omitempty"`
	Speed        float64           `json:"speed,omitempty"`  // of its run times; 2 halves them
	Lag          jsontime.Duration `json:"lag,omitempty"`    // of the reported usage
	Ledger       int               `json:"ledger,omitempty"` // tasks remembered
	Seed         uint64            `json:"seed,omitempty"`

	Recorder *task.Recorder `json:"-"` // shared by many back ends; may be nil
}

// Faults of a worker are those of a minion.
type Faults = minion.Faults

// Defaults of a worker.
const (
	defaultCores  = 16
	defaultMemory = 32 << 30
	defaultSpeed  = 1
	defaultLag    = 2 * time.Second
	maxLease      = time.Minute
)

func (s Settings) withDefaults() Settings {
	if s.Cores == 0 {
		s.Cores = defaultCores
	}
	if s.Memory == 0 {
		s.Memory = defaultMemory
	}
	if s.Speed == 0 {
		s.Speed = defaultSpeed
	}
	if s.Lag == 0 {
		s.Lag = jsontime.Duration(defaultLag)
	}
	return s
}
