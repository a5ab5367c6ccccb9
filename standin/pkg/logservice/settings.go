package logservice

import (
	"time"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/standin/pkg/control"
)

// Settings bounds the log; zero fields take the defaults.
type Settings struct {
	Listen  string            `json:"listen"`            // host:port
	Rate    int               `json:"rate,omitempty"`    // appends a second
	Records int               `json:"records,omitempty"` // kept in each stream
	Age     jsontime.Duration `json:"age,omitempty"`     // of the oldest record kept
	Sync    jsontime.Duration `json:"sync,omitempty"`    // time that a synced write takes
	Seed    uint64            `json:"seed,omitempty"`
}

// Faults of the log service.
type Faults = control.Platform

// Defaults of the log service.
const (
	defaultRate    = 500
	defaultRecords = 100_000
	defaultAge     = 24 * time.Hour
	defaultSync    = 4 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	if s.Rate == 0 {
		s.Rate = defaultRate
	}
	if s.Records == 0 {
		s.Records = defaultRecords
	}
	if s.Age == 0 {
		s.Age = jsontime.Duration(defaultAge)
	}
	if s.Sync == 0 {
		s.Sync = jsontime.Duration(defaultSync)
	}
	return s
}
