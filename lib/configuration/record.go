package configuration

// Stream is the log stream that holds configuration records.
const Stream = "configuration"

// RecordType tells the records of the configuration stream apart.
type RecordType string

// Types of records.
const (
	RecordPublish  RecordType = "publish"
	RecordSnapshot RecordType = "snapshot"
)

// Record is one entry of the configuration stream.
type Record struct {
	Type     RecordType `json:"type"`
	Publish  string     `json:"publish,omitempty"`  // unique identifier of one attempt to publish
	Author   string     `json:"author,omitempty"`   // who made the change
	Base     int64      `json:"base,omitempty"`     // the version that the document was made from; zero for a first one
	Document *Document  `json:"document,omitempty"` // of a publish record
	State    *State     `json:"state,omitempty"`    // of a snapshot record
}

// Accepted is the configuration in force of one owner.
type Accepted struct {
	Version  int64    `json:"version"` // counts the owner's accepted documents from 1
	Offset   int64    `json:"offset"`  // of the record that brought it
	Publish  string   `json:"publish"`
	Author   string   `json:"author"`
	Document Document `json:"document"`
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
}
