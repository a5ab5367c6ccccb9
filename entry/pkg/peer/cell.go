package peer

import (
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/queues"
)

// Methods between the hosts of cells.
const (
	MethodHeartbeat = "cell/pulse"
	MethodRun       = "cell/run"
	MethodQueues    = "cell/queues"
	MethodDirectory = "cell/directory"
	MethodChanges   = "cell/changes"
)

// CellKey names a cell: the workers of a place are divided among so many cells as its first one's claim says.
type CellKey struct {
	FailureDomain string `json:"p"`
	Index         int    `json:"x"`
}

// Claim says that a host keeps a cell.
type Claim struct {
	Cell      CellKey `json:"c"`
	CellCount int     `json:"o"` // cells that the place is divided into; that of the first cell decides
	Epoch     int64   `json:"e"` // rises with each claim of a cell
}

// Heartbeat is a heartbeat between the hosts of cells; both sides of a call tell the same of themselves.
type Heartbeat struct {
	Name              string      `json:"n"`
	Address           string      `json:"a"` // of the sender's listener for peers
	Incarnation       string      `json:"i"`
	Leaving           bool        `json:"l,omitempty"`
	Clock             int64       `json:"t"` // of the sender, in nanoseconds; it goes on while the sender is suspended
	QueuesVersion     int64       `json:"q"` // version of the queues in force
	Claims            []Claim     `json:"c,omitempty"`
	UnreleasedWorkers []string    `json:"k,omitempty"` // workers of other keepers that this one has not given up yet
	Loads             []cell.Load `json:"o,omitempty"`
	ShedFraction      float64     `json:"g,omitempty"` // the part of jobs, from 0 to 1, that the sender has to turn away to be in time with the others
}

// RunTask is one task of a job.
type RunTask struct {
	Name     string         `json:"n"`
	Need     cell.Resources `json:"r"`
	Estimate int64          `json:"e"` // nanoseconds at a worker of usual speed
}

// RunMode tells what a keeper may do with a job that finds no room at once.
type RunMode int

// Modes of a request.
const (
	RunAnywhere RunMode = iota // pass it to another keeper, or let it wait
	RunNow                     // decline it
	RunHere                    // let it wait, or decline it when it would miss its objective
	RunLate                    // start it at once though it misses its objective, or decline it
)

// RunRequest asks a keeper to run a job; its times are nanoseconds on the home's clock.
type RunRequest struct {
	ID                string    `json:"id"`
	Home              string    `json:"h"`
	HomeIncarnation   string    `json:"l"` // incarnation of the home
	KeeperIncarnation string    `json:"k"` // incarnation of the keeper that is meant
	Queue             string    `json:"q"`
	Group             string    `json:"g"`
	Spec              string    `json:"s"`
	Attempts          int       `json:"a"`
	Priority          int       `json:"p,omitempty"`
	Arrived           int64     `json:"t"`
	Objective         int64     `json:"o"`
	Deadline          int64     `json:"d"`
	Tasks             []RunTask `json:"ts"`
	Mode              RunMode   `json:"now,omitempty"`
}

// RunResponse is what became of the job.
type RunResponse struct {
	Declined   bool         `json:"no,omitempty"` // nothing was started; another cell may take the job
	Outcome    cell.Outcome `json:"o"`
	Reason     string       `json:"r,omitempty"`
	RetryAfter int64        `json:"w,omitempty"` // nanoseconds until the caller should come back
}

// QueuesRequest asks for the queues in force.
type QueuesRequest struct{}

// QueuesResponse holds the queues in force.
type QueuesResponse struct {
	Version int64          `json:"version"`
	Queues  []queues.Queue `json:"queues"`
}
