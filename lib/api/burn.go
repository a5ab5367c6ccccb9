package api

import (
	"time"

	"chervilusher.dev/lib/jsontime"
)

// BurnReport answers GET /v1/burn: how fast each objective's error budget is used up, by the answers of one entry host.
type BurnReport struct {
	Hosts      []string        `json:"hosts"` // whose figures it holds
	Time       time.Time       `json:"time"`
	Since      time.Time       `json:"since"` // the figures are whole from here on; a restarted host begins anew
	Objectives []BurnObjective `json:"objectives"`
}

// BurnObjective is the burn of one objective of one owner.
type BurnObjective struct {
	Owner   string            `json:"owner"`
	Name    string            `json:"name"`
	Service string            `json:"service,omitempty"`
	Pool    string            `json:"pool,omitempty"`
	Target  float64           `json:"target"`            // share of good answers
	Latency jsontime.Duration `json:"latency,omitempty"` // an answer within it is good; zero counts success alone
	Since   time.Time         `json:"since"`             // when its figures begin; a changed objective begins anew
	Good    int64             `json:"good"`              // answers since then
	Bad     int64             `json:"bad"`
	Times   []BurnTime        `json:"times,omitempty"` // how long complete answers of the last days took, shortest first
	Windows []BurnWindow      `json:"windows"`
	Points  []BurnPoint       `json:"points,omitempty"` // steps of 5 minutes over the last 6 hours, those with answers, oldest first
	Hours   []BurnPoint       `json:"hours,omitempty"`  // steps of 1 hour over the last 3 days
}

// BurnWindow is the burn over one long window and its short one; a rate of 1 uses up the budget exactly over the objective's period.
type BurnWindow struct {
	Long    jsontime.Duration `json:"long"`
	Short   jsontime.Duration `json:"short"`
	Limit   float64           `json:"limit"`   // the rate above which both windows raise an alarm
	Rate    float64           `json:"rate"`    // over the long window
	Recent  float64           `json:"recent"`  // over the short window
	Covered jsontime.Duration `json:"covered"` // how much of the long window has figures
	Alarm   bool              `json:"alarm"`
	Counts  BurnCounts        `json:"counts"` // of the long window
	Latest  BurnCounts        `json:"latest"` // of the short window
}

// BurnCounts counts answers.
type BurnCounts struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

// BurnPoint counts the answers of one step of time.
type BurnPoint struct {
	Time time.Time `json:"time"` // start of the step
	Good int64     `json:"good"`
	Bad  int64     `json:"bad"`
}

// BurnTime counts the answers that took about as long.
type BurnTime struct {
	Upto  jsontime.Duration `json:"upto"` // longest of them
	Count int64             `json:"count"`
}
