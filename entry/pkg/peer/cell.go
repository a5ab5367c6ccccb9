package peer

import (
	"slices"

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

	MethodCancelJobs = "cell/cancel"
	MethodStarts     = "cell/starts"
)

// CellKey identifies a cell; the claim of the first cell sets the number of cells of the failure domain.
type CellKey struct {
	FailureDomain string `json:"p"`
	Index         int    `json:"x"`
}

// Claim states that a host owns a cell.
type Claim struct {
	Cell      CellKey `json:"c"`
	CellCount int     `json:"o"` // number of cells of the failure domain; the claim of the first cell decides
	Epoch     int64   `json:"e"` // increases with each claim of the cell
}

// Evacuations names the failure domains whose workers get no new tasks until the operator takes them back.
type Evacuations struct {
	Position int64    `json:"p"` // up to which the operator's log is known; the higher one is in force
	Domains  []string `json:"d,omitempty"`
}

// Covers reports whether the failure domain is evacuated.
func (e *Evacuations) Covers(domain string) bool {
	return slices.Contains(e.Domains, domain)
}

// Heartbeat is exchanged between the hosts of cells; request and response carry the same fields.
type Heartbeat struct {
	Name        string `json:"n"`
	Address     string `json:"a"` // of the sender's peer listener
	Incarnation string `json:"i"`
	Leaving     bool   `json:"l,omitempty"`
	// Clock is that of the sender, in nanoseconds; it keeps running while the process is suspended.
	Clock             int64        `json:"t"`
	QueuesVersion     int64        `json:"q"` // version of the active queues
	Evacuations       *Evacuations `json:"v,omitempty"`
	Claims            []Claim      `json:"c,omitempty"`
	UnreleasedWorkers []string     `json:"k,omitempty"` // workers of other keepers that the sender has not released yet
	Loads             []cell.Load  `json:"o,omitempty"`
	// Calls are the sender's open calls to run jobs at the receiver; nil from earlier versions, which do not tell.
	Calls *OpenCalls `json:"w,omitempty"`
	// Crashes are tasks under which workers have crashed lately, or all that are known for a host that has just started.
	Crashes []cell.CrashCount `json:"x,omitempty"`
	// LateStarts are tasks that a crashed worker of the sender may start in its next life, news or all as for Crashes.
	LateStarts []cell.LateStart `json:"s,omitempty"`
	// StartsReportedUntil is the time on Clock up to which LateStarts names all unsettled starts of the sender; zero from earlier
	// versions, which cannot be witnesses either.
	StartsReportedUntil int64 `json:"u,omitempty"`
	// ShedFraction is the part of jobs, from 0 to 1, that the sender has to shed to finish the others in time.
	ShedFraction float64 `json:"g,omitempty"`
	// Excesses lists the queues of which more is offered to the sender than it can start in time.
	Excesses []Excess `json:"r,omitempty"`
}

// Excess says which part of a queue's jobs a keeper cannot start in time.
type Excess struct {
	Queue      string `json:"q"`
	Beyond     int    `json:"b"`           // thousandths that the keeper cannot start on its own workers
	Refused    int    `json:"f,omitempty"` // thousandths that homes are to refuse at once, since other keepers have no room either
	RetryAfter int64  `json:"w,omitempty"` // milliseconds until callers of refused jobs should retry
}

// OpenCalls lists calls to run jobs whose callers wait; WantedAt holds for each number the time, in nanoseconds on the
// sender's clock, at which the caller was last known to wait.
type OpenCalls struct {
	Numbers  []int64 `json:"n,omitempty"`
	WantedAt []int64 `json:"t,omitempty"`
}

// RunTask is one task of a job.
type RunTask struct {
	Name     string         `json:"n"`
	Need     cell.Resources `json:"r"`
	Estimate int64          `json:"e"` // nanoseconds at a worker of typical speed
}

// RunMode is what a keeper may do with a job that cannot start at once.
type RunMode int

// Modes of a run request.
const (
	RunAnywhere RunMode = iota // forward it to another keeper, or queue it
	RunNow                     // decline it
	RunHere                    // queue it, or decline it when it would miss its objective
	RunLate                    // start it at once even if it misses its objective, or decline it
)

// RunRequest asks a keeper to run a job; its times are nanoseconds on the home host's clock.
type RunRequest struct {
	ID                string    `json:"id"`
	Home              string    `json:"h"`
	HomeIncarnation   string    `json:"l"`
	KeeperIncarnation string    `json:"k"` // of the keeper that the request is meant for
	Queue             string    `json:"q"`
	Group             string    `json:"g"`
	Spec              string    `json:"s"`
	Attempts          int       `json:"a"`
	Priority          int       `json:"p,omitempty"`
	Arrived           int64     `json:"t"`
	Objective         int64     `json:"o"`
	Deadline          int64     `json:"d"`
	Sent              int64     `json:"w,omitempty"`
	WantedAt          int64     `json:"e,omitempty"` // when the caller was last known to wait
	Call              int64     `json:"c,omitempty"` // number of this call, unique for the home's incarnation
	Tasks             []RunTask `json:"ts"`
	Mode              RunMode   `json:"now,omitempty"`
}

// RunResponse is the result of a run request.
type RunResponse struct {
	Declined   bool         `json:"no,omitempty"` // nothing was started; another cell may run the job
	Outcome    cell.Outcome `json:"o"`
	Reason     string       `json:"r,omitempty"`
	RetryAfter int64        `json:"w,omitempty"` // nanoseconds until the caller should retry
}

// CancelJobsRequest asks a host to cancel jobs that are open there, whether their callers wait there or it runs them.
type CancelJobsRequest struct {
	IDs []string `json:"id"`
}

// CancelJobsResponse names the jobs that were open.
type CancelJobsResponse struct {
	Cancelled []string `json:"c,omitempty"`
}

// StartsNotice notifies a witness of starts that the sender is about to send.
type StartsNotice struct {
	Host        string           `json:"h"`
	Incarnation string           `json:"i"`
	Starts      []cell.LateStart `json:"s"`
}

// StartsNoticed confirms a notice.
type StartsNoticed struct{}

// QueuesRequest asks for the active queues.
type QueuesRequest struct{}

// QueuesResponse holds the active queues.
type QueuesResponse struct {
	Version int64          `json:"version"`
	Queues  []queues.Queue `json:"queues"`
}
