package measure

import (
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/load/pkg/entry"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/standin/pkg/office"
)

// Results is everything that one run of an experiment showed.
type Results struct {
	Settings experiment.Settings `json:"settings"`
	Date     time.Time           `json:"date"`
	Build    string              `json:"build,omitempty"` // version of the measured program
	Windows  []WindowFigures     `json:"windows"`
	Totals   Totals              `json:"totals"`
	Groups   []GroupFigures      `json:"groups"`
	Entries  []EntryFigures      `json:"entries"`
	Backends []BackendFigures    `json:"backends"`
	Counters []Counter           `json:"counters"` // of the entry hosts together, their growth over the run
	Seconds  []SecondFigures     `json:"seconds"`
	Shares   []Point             `json:"shares"` // cumulative distribution of response against ideal
}

// Totals counts the whole run.
type Totals struct {
	Jobs       int               `json:"jobs"`
	Tasks      int               `json:"tasks"`
	Starts     int64             `json:"starts"`     // at the back ends
	Duplicates int64             `json:"duplicates"` // starts of one start identifier at one back end
	Repeats    int64             `json:"repeats"`    // starts of one task of a job that had started before anywhere
	Refused    int64             `json:"refused"`    // starts that back ends turned down
	Foreign    int               `json:"foreign"`    // answers that held another job's result
	Mismatches int               `json:"mismatches"` // resubmissions with another answer
	Messages   float64           `json:"messages"`   // sent by the entry hosts, each start
	Wasted     float64           `json:"wasted"`     // messages that moved no work, each start
	SendLag    jsontime.Duration `json:"lag"`        // p99 of the tool's own delay
	Cancels    int               `json:"cancels"`
	CancelP99  jsontime.Duration `json:"cancelled,omitempty"` // p99 of the answers to cancellations
}

// WindowFigures is the figures of the jobs that arrived in one window.
type WindowFigures struct {
	experiment.Window
	Rows    []Row   `json:"rows"`
	Goodput float64 `json:"goodput"` // work done in time within the window, as a share of the capacity of all groups
	Starts  int64   `json:"starts"`  // at all back ends within the window
	Faulty  int64   `json:"faulty"`  // of them, at back ends that some fault of the experiment names
	Gap     Gap     `json:"gap"`
}

// Row is the figures of one owner's class, or of all classes.
type Row struct {
	Owner    string            `json:"owner"`
	Class    string            `json:"class"`
	Jobs     int               `json:"jobs"`
	Complete int               `json:"complete"`
	InTime   float64           `json:"timely"`  // share complete within the deadline
	Work     float64           `json:"work"`    // seconds of work that was complete
	Ratio    Quantiles         `json:"ratio"`   // response against ideal
	Central  Quantiles         `json:"central"` // the same for one central queue that takes the fastest free slot
	Response Spans             `json:"response"`
	Refusal  Spans             `json:"refusal"` // from the intended send to the refusal
	Return   jsontime.Duration `json:"return"`  // mean Retry-After of the refusals
	Endings  []Ending          `json:"endings"`
}

// Quantiles of a ratio.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Spans is quantiles of a time.
type Spans struct {
	Count int               `json:"count"`
	P50   jsontime.Duration `json:"p50"`
	P99   jsontime.Duration `json:"p99"`
}

// Ending counts the jobs that ended in one way.
type Ending struct {
	State api.State `json:"state"` // empty if no answer came
	Code  api.Code  `json:"code,omitempty"`
	Ran   api.Ran   `json:"ran,omitempty"`
	Jobs  int       `json:"jobs"`
}

// GroupFigures is what one group could do.
type GroupFigures struct {
	Name     string  `json:"name"`
	Capacity float64 `json:"capacity"` // seconds of work in a second
	Offered  float64 `json:"offered"`  // work of all arrivals as a share of the capacity
	Median   float64 `json:"median"`   // speed
}

// EntryFigures is what one entry host cost over the run.
type EntryFigures struct {
	Host     experiment.Entry  `json:"host"`
	CPU      jsontime.Duration `json:"cpu"`
	Memory   int64             `json:"memory"` // bytes, the most that was resident
	Bytes    int64             `json:"bytes"`  // read and written
	Starts   float64           `json:"starts"`
	CPUStart jsontime.Duration `json:"each"` // processor time for each start
}

// BackendFigures is what one back end did.
type BackendFigures = office.MemberCounters

// Counter is one counter of the entry hosts.
type Counter struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// SecondFigures is the figures of one second of the run.
type SecondFigures struct {
	At      int     `json:"at"` // seconds from the start
	Jobs    int     `json:"jobs"`
	P50     float64 `json:"p50"` // of response against ideal, for the jobs that arrived in it
	P99     float64 `json:"p99"`
	Refused int     `json:"refused"`
	Goodput float64 `json:"goodput"` // seconds of work done in time
	Offered float64 `json:"offered"` // seconds of work that arrived
}

// Point is one point of a curve.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Gap is the longest time within a window in which one of the fastest back ends got no start.
type Gap struct {
	Length  jsontime.Duration `json:"length"`
	Backend string            `json:"backend"`
}

// Sample is the counters of all back ends at a moment, counted from the start.
type Sample struct {
	At       time.Duration
	Backends []BackendFigures
	Gap      Gap // since the sample before
}

// Usage is the cost and the counters of one entry host at a moment.
type Usage struct {
	Cost     entry.Cost
	Counters map[string]float64
}
