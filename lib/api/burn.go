package api

import (
	"time"

	"chervilusher.dev/lib/jsontime"
)

// BurnReport answers GET /v1/burn: how fast each objective's error budget is used up at one entry host.
type BurnReport struct {
	Host       string          `json:"host"`
	Time       time.Time       `json:"time"`
	Since      time.Time       `json:"since"` // the figures count from here; a restarted host begins anew
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
	Since   time.Time         `json:"since"`             // when the objective's figures begin
	Good    int64             `json:"good"`              // since then
	Bad     int64             `json:"bad"`
	Median  jsontime.Duration `json:"median"` // response time of the longest window
	Tail    jsontime.Duration `json:"tail"`   // 99th percentile of the longest window
	Windows []BurnWindow      `json:"windows"`
	Points  []BurnPoint       `json:"points,omitempty"` // oldest first, for plots
}

// BurnWindow is the burn over one long window and its short one; a rate of 1 uses up the budget exactly over the objective's period.
type BurnWindow struct {
	Long    jsontime.Duration `json:"long"`
	Short   jsontime.Duration `json:"short"`
	Limit   float64           `json:"limit"`   // the rate above which the pair raises an alarm
	Rate    float64           `json:"rate"`    // over the long window
	Recent  float64           `json:"recent"`  // over the short window
	Covered jsontime.Duration `json:"covered"` // how much of the long window has figures
	Alarm   bool              `json:"alarm"`   // both rates are above the limit
}

// BurnPoint counts the answers of one step of time.
type BurnPoint struct {
	Time time.Time `json:"time"` // start of the step
	Good int64     `json:"good"`
	Bad  int64     `json:"bad"`
}
