package api

import (
	"time"

	"chervilusher.dev/lib/jsontime"
)

// Ready says whether a process or back end takes new work.
type Ready string

// Values of Ready.
const (
	ReadyYes       Ready = "yes"
	ReadyDraining  Ready = "draining"  // finishes what it has and takes nothing new
	ReadyEjected   Ready = "ejected"   // taken out for its failures until a probe succeeds
	ReadyEvacuated Ready = "evacuated" // gets nothing new until its failure domain is taken back
	ReadyNo        Ready = "no"        // not reachable or not yet started
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
	Evacuations   []EvacuationStatus  `json:"evacuations"`   // failure domains that get nothing new
}

// HostStatus is one entry host.
type HostStatus struct {
	Name        string `json:"name"`
	Place       string `json:"place"`
	Address     string `json:"address"`
	Size        int    `json:"size"`
	Incarnation string `json:"incarnation,omitempty"` // random for each start of the process
	Ready       Ready  `json:"ready"`
}

// BackendStatus is what minions and workers have in common, as seen by the host that answers.
type BackendStatus struct {
	Name    string  `json:"name"`
	Place   string  `json:"place"`
	Group   string  `json:"group"`
	Keeper  string  `json:"keeper,omitempty"` // the entry host that hands out its slots
	Ready   Ready   `json:"ready"`
	Slots   int     `json:"slots"`   // tasks that it runs at once, for all hosts together
	Granted int     `json:"granted"` // slots that the answering host may use now
	Used    int     `json:"used"`    // slots with tasks of the answering host
	Failing float64 `json:"failing"` // share of recent starts that failed, 0 to 1
	Slow    float64 `json:"slow"`    // learnt run time against the usual of its group; zero means unknown
}

// MinionStatus is one minion as seen by the host that answers.
type MinionStatus struct {
	BackendStatus
}

// WorkerStatus is one worker as seen by the host that answers.
type WorkerStatus struct {
	BackendStatus
	Rack         string  `json:"rack,omitempty"`
	Fence        int64   `json:"fence,omitempty"` // fencing token under which the answering host starts tasks
	Cores        float64 `json:"cores"`
	Memory       int64   `json:"memory"` // bytes
	Accelerators int     `json:"accelerators,omitempty"`
}

// QueueStatus is the work of one owner for one service or pool that waits at the host that answers.
type QueueStatus struct {
	Owner   string            `json:"owner"`
	Service string            `json:"service,omitempty"`
	Pool    string            `json:"pool,omitempty"`
	Urgent  int               `json:"urgent"`           // urgent tasks that wait
	Normal  int               `json:"normal"`           // other tasks that wait
	Long    int               `json:"long"`             // waiting tasks that are learnt to be long
	Oldest  jsontime.Duration `json:"oldest,omitempty"` // since its job was received, of the oldest
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

// EvacuationStatus is one evacuated failure domain.
type EvacuationStatus struct {
	Domain string `json:"domain"`
	Author string `json:"author"` // who evacuated it
	Offset int64  `json:"offset"` // of the record in the configuration stream
}

// ConfigurationStatus tells how far a host has folded the configuration stream.
type ConfigurationStatus struct {
	Next int64 `json:"next"` // offset of the first record not yet folded
}
