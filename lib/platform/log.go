package platform

import (
	"encoding/json"
	"time"
)

// Record is one entry of a log stream.
type Record struct {
	Offset int64           `json:"offset"`
	Time   time.Time       `json:"time"`
	Data   json.RawMessage `json:"data"`
}

// Batch answers GET /v1/streams/{stream}?from=OFFSET&wait=DURATION&limit=N.
type Batch struct {
	First   int64    `json:"first"` // the oldest offset that is still kept
	Next    int64    `json:"next"`  // the offset that the next append gets
	Records []Record `json:"records"`
}

// Appended answers POST /v1/streams/{stream}, whose body is the record's data.
type Appended struct {
	Offset int64 `json:"offset"`
}
