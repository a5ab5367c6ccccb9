package hostlist

import (
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/control"
)

// Settings of the host list.
type Settings struct {
	Listen string            `json:"listen"`        // host:port
	Lag    jsontime.Duration `json:"lag,omitempty"` // from a change until readers see it
	Seed   uint64            `json:"seed,omitempty"`
}

// Faults of the host list.
type Faults struct {
	control.Platform
	Lag jsontime.Duration `json:"lag,omitempty"` // replaces the settings' lag if it is not zero
}

// Change is the body of POST /control/states.
type Change struct {
	Name  string             `json:"name"`
	State platform.HostState `json:"state"`
}

// Counters counts the list's requests since its start.
type Counters struct {
	Reads   int64 `json:"reads"`
	Version int64 `json:"version"`
}
