package settings

import (
	"time"

	"chervilusher.dev/entry/pkg/inflow"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/settings"
)

// Settings is everything that an operator may set for one entry daemon.
type Settings struct {
	// Name is the host's unique name, as it stands in the host list.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the host stands in, as the host list names it.
	FailureDomain string `json:"place"`
	// Size is the host's capacity relative to other entry hosts.
	Size int `json:"size"`
	// Limits are what the machine allows the process.
	Limits Limits `json:"limits"`
	// Clients bound what callers can make the process hold.
	Clients inflow.Settings `json:"clients"`
	// Peers bound what other hosts can make the process hold.
	Peers inflow.Peers `json:"peers"`
	// Caller is the address that callers connect to.
	Caller Listener `json:"caller"`
	// Operator is the address that operators and probes connect to.
	Operator Operator `json:"operator"`
	// Peer is the address that other entry hosts connect to.
	Peer Listener `json:"peer"`
	// Platform tells where the platform's services are.
	Platform Platform `json:"platform"`
	// Ticket bounds window tokens and kept answers.
	Ticket Ticket `json:"ticket"`
	// Policy selects and tunes the dispatch decisions.
	Policy Policy `json:"policy"`
	// Lease bounds the leases of workers and the loans of slots.
	Lease Lease `json:"lease"`
	// Log selects what is logged.
	Log Log `json:"log"`
}

// Limits are what the machine allows the process.
type Limits struct {
	Memory      int   `json:"memory"`      // MiB
	Descriptors int   `json:"descriptors"` // of all kinds
	Jobs        int64 `json:"jobs"`        // bytes of submissions with tasks that wait or run; 0 derives it from the memory
}

// jobsPart of the memory is for submissions with tasks that wait or run.
const jobsPart = 8

// JobBytes returns how many bytes submissions with tasks that wait or run may take.
func (l *Limits) JobBytes() int64 {
	if l.Jobs > 0 {
		return l.Jobs
	}
	return int64(l.Memory) << 20 / jobsPart
}

// Listener is an address to listen on.
type Listener struct {
	Listen string `json:"listen"` // host:port
	TLS    TLS    `json:"tls"`
}

// TLS names the PEM files of an address; without files it speaks plain TCP.
type TLS struct {
	Cert  string `json:"cert"`  // certificate and the chain to its authority
	Key   string `json:"key"`   // private key of the certificate
	Trust string `json:"trust"` // authorities whose certificates clients must show; empty lets in any client
}

// Enabled reports whether files are named.
func (t TLS) Enabled() bool {
	return t.Cert != ""
}

// Operator is the operators' address and the host's own operator token.
type Operator struct {
	Listen string `json:"listen"` // host:port
	TLS    TLS    `json:"tls"`
	Hash   string `json:"hash"` // SHA-256 of the token for host-wide calls, in hexadecimal; empty refuses them
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
}

// Ticket bounds window tokens and kept answers.
type Ticket struct {
	Key     string            `json:"key"`     // secret shared by all entry hosts, at least 16 characters
	Window  jsontime.Duration `json:"window"`  // length of one window
	Keep    jsontime.Duration `json:"keep"`    // how long a window is kept after it ended
	Bytes   int64             `json:"bytes"`   // most bytes of kept answers; beyond it the oldest are dropped
	Entries int               `json:"entries"` // most identifiers remembered; beyond it the oldest windows are forgotten, then new work is refused
}

// Policy selects and tunes the dispatch decisions.
type Policy struct {
	Lending   string            `json:"lending"`   // how hosts divide slots: loans, fixed or shared
	Placement string            `json:"placement"` // fastest, random, robin or least
	Admission string            `json:"admission"` // predict or none
	Queue     string            `json:"queue"`     // fair or single
	Deadline  jsontime.Duration `json:"deadline"`  // for submissions and services that name none
	Timeout   jsontime.Duration `json:"timeout"`   // longest run of one task where the configuration names none
	Queued    int               `json:"queued"`    // most waiting tasks of one owner where its quota names none
	Retries   float64           `json:"retries"`   // share of starts that may be retries
	Long      jsontime.Duration `json:"long"`      // run time from which a task counts as long
	Share     float64           `json:"share"`     // most of a place's speed that long work may take while short work comes
	Eject     float64           `json:"eject"`     // most of a group that may be ejected
}

// Lease bounds the leases of workers and the loans of slots.
type Lease struct {
	Length    jsontime.Duration `json:"length"`    // of a worker's lease
	Margin    jsontime.Duration `json:"margin"`    // no start when less than this is left
	Loan      jsontime.Duration `json:"loan"`      // of slots lent to another host
	Heartbeat jsontime.Duration `json:"heartbeat"` // between the hosts of a place
}

// Log selects what is logged.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// headTime bounds how long a caller may take to send its headers.
const headTime = 10 * time.Second

// Default returns the settings that hold where a file says nothing.
func Default() *Settings {
	return &Settings{
		Size:    1,
		Limits:  Limits{Memory: 1024, Descriptors: 4096},
		Clients: inflow.Default(api.MaxBodyBytes, headTime),
		Ticket: Ticket{
			Window:  jsontime.Duration(time.Minute),
			Keep:    jsontime.Duration(10 * time.Minute),
			Bytes:   64 << 20,
			Entries: 100_000,
		},
		Policy: Policy{
			Lending:   "loans",
			Placement: "fastest",
			Admission: "predict",
			Queue:     "fair",
			Deadline:  jsontime.Duration(30 * time.Second),
			Timeout:   jsontime.Duration(2 * time.Minute),
			Queued:    100_000,
			Retries:   0.1,
			Long:      jsontime.Duration(2 * time.Second),
			Share:     0.5,
			Eject:     0.5,
		},
		Lease: Lease{
			Length:    jsontime.Duration(3 * time.Second),
			Margin:    jsontime.Duration(500 * time.Millisecond),
			Loan:      jsontime.Duration(2 * time.Second),
			Heartbeat: jsontime.Duration(500 * time.Millisecond),
		},
		Log: Log{Level: "info", Format: "text"},
	}
}

// Load reads the settings file at path over the defaults and checks the outcome.
func Load(path string) (*Settings, error) {
	loaded := Default()
	if err := settings.Load(path, loaded); err != nil {
		return nil, err
	}
	if err := loaded.Check(); err != nil {
		return nil, err
	}
	return loaded, nil
}
