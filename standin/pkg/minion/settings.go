package minion

import (
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/standin/pkg/task"
)

// Settings of one minion.
type Settings struct {
	Name        string  `json:"name"`
	Listen      string  `json:"listen"`                // host:port
	Slots       int     `json:"slots,omitempty"`       // tasks at once
	Connections int     `json:"connections,omitempty"` // open at once
	Speed       float64 `json:"speed,omitempty"`       // of its run times; 2 halves them
	Ledger      int     `json:"ledger,omitempty"`      // tasks remembered
	Seed        uint64  `json:"seed,omitempty"`

	Recorder *task.Recorder `json:"-"` // shared by many back ends; may be nil
}

// Faults of a minion.
type Faults struct {
	Fail    bool              `json:"fail,omitempty"`    // every task fails at once
	Hang    bool              `json:"hang,omitempty"`    // tasks start and never end by themselves
	Lost    float64           `json:"lost,omitempty"`    // share of answers lost after the task ended
	Crossed float64           `json:"crossed,omitempty"` // share of answers that name another task
	Delay   jsontime.Duration `json:"delay,omitempty"`   // before each answer
	Speed   float64           `json:"speed,omitempty"`   // replaces the settings' speed if it is not zero
}

// Defaults of a minion.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultSpeed       = 1
)

func (s Settings) withDefaults() Settings {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.Speed == 0 {
		s.Speed = defaultSpeed
	}
	return s
}
