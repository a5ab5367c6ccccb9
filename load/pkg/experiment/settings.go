package experiment

import (
	"encoding/json"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/standin/pkg/hostlist"
	"chervilusher.dev/standin/pkg/logservice"
	"chervilusher.dev/standin/pkg/minion"
	"chervilusher.dev/standin/pkg/office"
)

// Settings is one experiment; times count from the first arrival.
type Settings struct {
	Name    string            `json:"name"`
	Note    string            `json:"note,omitempty"`
	Seed    uint64            `json:"seed,omitempty"`
	Scale   float64           `json:"scale,omitempty"`  // run times and deadlines are divided by it; zero means 1
	Length  jsontime.Duration `json:"length"`           // of the arrivals
	Settle  jsontime.Duration `json:"settle,omitempty"` // longest wait for answers after the last arrival
	Trips   jsontime.Duration `json:"trips,omitempty"`  // round trips that belong to the ideal response
	Windows []Window          `json:"windows,omitempty"`
	Groups  []office.Group    `json:"groups"`
	Log     PlatformLog       `json:"log,omitzero"`
	Entries []Entry           `json:"entries"`
	Entry   EntrySettings     `json:"entry,omitzero"`
	Owners  []Owner           `json:"owners"`
	Faults  []Fault           `json:"faults,omitempty"`
}

// PlatformLog bounds the log stand-in; zero fields take its defaults.
type PlatformLog struct {
	Rate int               `json:"rate,omitempty"` // appends a second
	Sync jsontime.Duration `json:"sync,omitempty"` // time of a synced write
}

// Window names a span of arrivals whose figures are reported together.
type Window struct {
	Name string            `json:"name"`
	From jsontime.Duration `json:"from"`
	To   jsontime.Duration `json:"to"`
}

// Entry is one entry host that the tool starts as a process.
type Entry struct {
	Name  string `json:"name"`
	Place string `json:"place"`
	Size  int    `json:"size"`
}

// EntrySettings is passed on to every entry host; empty parts keep the daemon's defaults.
type EntrySettings struct {
	Policy json.RawMessage `json:"policy,omitempty"`
	Lease  json.RawMessage `json:"lease,omitempty"`
	Ticket json.RawMessage `json:"ticket,omitempty"`
	Level  string          `json:"level,omitempty"` // of the log
}

// Owner is a customer and the load that it brings.
type Owner struct {
	Name     string   `json:"name"`
	Weight   int      `json:"weight,omitempty"`
	Group    string   `json:"group"` // its minions' or workers' group
	Phases   []Phase  `json:"phases"`
	Classes  []Class  `json:"classes"`
	Tasks    Range    `json:"tasks,omitzero"`     // in one job, drawn log-uniformly; zero means 1
	Declared float64  `json:"declared,omitempty"` // declared run times are off by up to this factor; zero declares none
	Resubmit float64  `json:"resubmit,omitempty"` // share of jobs that are sent twice
	Cancels  []Cancel `json:"cancels,omitempty"`
}

// Range bounds a drawn number.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Phase is a span of steady or swinging demand.
type Phase struct {
	From   jsontime.Duration `json:"from"`
	Load   float64           `json:"load,omitempty"`   // share of the group's capacity
	Rate   float64           `json:"rate,omitempty"`   // tasks a second, in place of a load
	Swing  float64           `json:"swing,omitempty"`  // amplitude of a sine around the rate, 0 to 1
	Period jsontime.Duration `json:"period,omitempty"` // of the sine
}

// Class is one kind of work of an owner.
type Class struct {
	Name     string            `json:"name"`
	Kind     string            `json:"kind,omitempty"` // as the dispatcher sees it; empty means the name
	Share    float64           `json:"share"`          // of the jobs
	From     jsontime.Duration `json:"from"`           // shortest run time at speed 1
	To       jsontime.Duration `json:"to"`             // longest run time at speed 1
	Deadline jsontime.Duration `json:"deadline,omitempty"`
	Urgent   bool              `json:"urgent,omitempty"`
	Cores    float64           `json:"cores,omitempty"` // on a worker
}

// Cancel is a wave of cancellations.
type Cancel struct {
	At    jsontime.Duration `json:"at"`
	Share float64           `json:"share"` // of the owner's jobs that are under way
}

// Signal is what happens to an entry host's process.
type Signal string

// Signals of entry hosts.
const (
	SignalKill   Signal = "kill"   // dies at once
	SignalStop   Signal = "stop"   // asked for a graceful shutdown
	SignalFreeze Signal = "freeze" // paused
	SignalThaw   Signal = "thaw"   // resumed
	SignalStart  Signal = "start"  // a new process takes its place
)

// EntryFault signals one entry host.
type EntryFault struct {
	Name   string `json:"name"`
	Signal Signal `json:"signal"`
}

// BackendFault replaces the faults of back ends, chosen by group and index.
type BackendFault struct {
	Group  string        `json:"group"`
	Every  int           `json:"every,omitempty"` // each so-manieth back end; zero or 1 means all
	First  int           `json:"first,omitempty"` // index of the first one
	Faults minion.Faults `json:"faults"`
	Down   bool          `json:"down,omitempty"`
}

// Fault changes the platform, back ends or entry hosts at a time.
type Fault struct {
	At       jsontime.Duration  `json:"at"`
	Log      *logservice.Faults `json:"log,omitempty"`
	Hosts    *hostlist.Faults   `json:"hosts,omitempty"`
	State    *hostlist.Change   `json:"state,omitempty"`
	Backends *BackendFault      `json:"backends,omitempty"`
	Entry    *EntryFault        `json:"entry,omitempty"`
}
