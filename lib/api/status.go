package api

import (
	"time"

	"chervilusher.dev/lib/jsontime"
)

// Ready says whether a process or back end takes new work.
type Ready string

// Values of Ready.
const (
	ReadyYes      Ready = "yes"
	ReadyDraining Ready = "draining" // finishes what it has and takes nothing new
	ReadyEjected  Ready = "ejected"  // taken out for its failures until a probe succeeds
	ReadyNo       Ready = "no"       // not reachable or not yet started
)

// Status is what one entry host knows, as GET /v1/status of the operators' API answers it.
type Status struct {
	Host          HostStatus          `json:"host"`          // the host that answers
	Time          time.Time           `json:"time"`          // of the answer, by the host's clock
	Hosts         []HostStatus        `json:"hosts"`         // the entry hosts it knows, itself among them
	Minions       []MinionStatus      `json:"minions"`       // of all services it may send to
	Workers       []WorkerStatus      `json:"workers"`       // of all pools it may send to
	Queues        []QueueStatus       `json:"queues"`        // work that waits at this host
	Owners        []OwnerStatus       `json:"owners"`        // the owners of the accepted configuration
	Configuration ConfigurationStatus `json:"configuration"` // as folded by this host
}

// HostStatus is one entry host.
type HostStatus struct {
	Name        string    `json:"name"`
	Place       string    `json:"place"`
	Address     string    `json:"address"`
	Size        int       `json:"size"`
	Incarnation string    `json:"incarnation,omitempty"` // random for each start of the process
	Started     time.Time `json:"started,omitzero"`
	Ready       Ready     `json:"ready"`
}

// MinionStatus is one minion as seen by the host that answers.
type MinionStatus struct {
	Name     string            `json:"name"`
	Place    string            `json:"place"`
	Group    string            `json:"group"`
	Keeper   string            `json:"keeper,omitempty"` // the entry host that hands out its slots
	Ready    Ready             `json:"ready"`
	Slots    int               `json:"slots"`
	Used     int               `json:"used"`               // slots with a task of the answering host
	Started  int64             `json:"started"`            // tasks started since the host's start
	Failed   int64             `json:"failed"`             // tasks that ended with an error
	Expected jsontime.Duration `json:"expected,omitempty"` // learnt time of one task, over all kinds
}

// WorkerStatus is one worker as seen by the host that answers.
type WorkerStatus struct {
	Name         string  `json:"name"`
	Place        string  `json:"place"`
	Rack         string  `json:"rack,omitempty"`
	Group        string  `json:"group"`
	Keeper       string  `json:"keeper,omitempty"` // the entry host that holds its lease
	Fence        int64   `json:"fence,omitempty"`  // the lease's fencing token, if the answering host holds it
	Ready        Ready   `json:"ready"`
	Cores        float64 `json:"cores"`
	Memory       int64   `json:"memory"` // bytes
	Accelerators int     `json:"accelerators,omitempty"`
	Used         float64 `json:"used"` // cores taken by tasks of the answering host
	Running      int     `json:"running"`
	Started      int64   `json:"started"`
	Failed       int64   `json:"failed"`
}

// QueueStatus is the work of one owner for one service or pool that waits or runs at the host that answers.
type QueueStatus struct {
	Owner   string            `json:"owner"`
	Service string            `json:"service,omitempty"`
	Pool    string            `json:"pool,omitempty"`
	Urgent  int               `json:"urgent"` // urgent tasks that wait
	Normal  int               `json:"normal"` // other tasks that wait
	Long    int               `json:"long"`   // waiting tasks that are learnt to be long
	Running int               `json:"running"`
	Oldest  jsontime.Duration `json:"oldest,omitempty"` // age of the task that has waited longest
}

// OwnerStatus is one owner at the host that answers.
type OwnerStatus struct {
	Owner   string `json:"owner"`
	Version int64  `json:"version"` // of its accepted configuration
	Weight  int    `json:"weight"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	Refused int64  `json:"refused"` // submissions refused since the host's start
}

// ConfigurationStatus tells how far a host has folded the configuration stream.
type ConfigurationStatus struct {
	Next   int64             `json:"next"`          // offset of the first record not yet folded
	Source string            `json:"source"`        // "log" or the peer that it came from
	Age    jsontime.Duration `json:"age,omitempty"` // since the log last answered; it grows while the log is away
}
