package configuration

// Stream is the log stream that holds configuration records.
const Stream = "configuration"

// RecordType tells the records of the configuration stream apart.
type RecordType string

// Types of records.
const (
	RecordPublish    RecordType = "publish"
	RecordSnapshot   RecordType = "snapshot"
	RecordEvacuation RecordType = "evacuation"
)

// Record is one entry of the configuration stream.
type Record struct {
	Type      RecordType `json:"type"`
	Publish   string     `json:"publish,omitempty"`   // unique identifier of one attempt to publish
	Author    string     `json:"author,omitempty"`    // who made the change
	Base      int64      `json:"base,omitempty"`      // the version that the document was made from; zero for a first one
	Document  *Document  `json:"document,omitempty"`  // of a publish record
	Domain    string     `json:"domain,omitempty"`    // failure domain of an evacuation record
	Evacuated bool       `json:"evacuated,omitempty"` // of an evacuation record; false ends the evacuation
	State     *State     `json:"state,omitempty"`     // of a snapshot record
}

// Accepted is the configuration in force of one owner.
type Accepted struct {
	Version  int64    `json:"version"` // counts the owner's accepted documents from 1
	Offset   int64    `json:"offset"`  // of the record that brought it
	Publish  string   `json:"publish"`
	Author   string   `json:"author"`
	Document Document `json:"document"`
}

// Evacuation is the last accepted change of a failure domain's evacuation.
type Evacuation struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"` // its endpoints and workers get nothing new
	Offset    int64  `json:"offset"`    // of the record that brought the change
	Publish   string `json:"publish"`
	Author    string `json:"author"`
}

// Rejection tells why a record was not accepted.
type Rejection struct {
	Offset  int64  `json:"offset"`
	Publish string `json:"publish,omitempty"`
	Owner   string `json:"owner,omitempty"`
	Author  string `json:"author,omitempty"`
	Reason  string `json:"reason"`
}

// State is the configuration after all records below Next; a higher Next is never older.
type State struct {
	Next       int64                `json:"next"`
	Owners     map[string]*Accepted `json:"owners"`
	Rejections []Rejection          `json:"rejections,omitempty"` // the latest few
	// Evacuations holds the last change of each failure domain that was ever evacuated.
	Evacuations map[string]*Evacuation `json:"evacuations,omitempty"`
}
