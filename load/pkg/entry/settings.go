package entry

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"chervilusher.dev/load/pkg/experiment"
)

// ticketKey signs the tickets of an experiment's hosts.
const ticketKey = "only-for-experiments-0123456789"

// Addresses is where one entry host listens and where the platform is.
type Addresses struct {
	Caller   string // host:port
	Operator string // host:port
	Peer     string // host:port
	Log      string // base URL
	Hosts    string // base URL
}

// listener is one listening address in the daemon's settings.
type listener struct {
	Listen string `json:"listen"`
}

// platformURLs is the platform's part of the daemon's settings.
type platformURLs struct {
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
}

// logLevel is the log's part of the daemon's settings.
type logLevel struct {
	Level string `json:"level"`
}

// document is the daemon's settings file.
type document struct {
	Name     string          `json:"name"`
	Place    string          `json:"place"`
	Size     int             `json:"size"`
	Caller   listener        `json:"caller"`
	Operator listener        `json:"operator"`
	Peer     listener        `json:"peer"`
	Platform platformURLs    `json:"platform"`
	Ticket   json.RawMessage `json:"ticket"`
	Policy   json.RawMessage `json:"policy,omitempty"`
	Lease    json.RawMessage `json:"lease,omitempty"`
	Log      logLevel        `json:"log"`
}

// ticketPart is the ticket's part of the daemon's settings.
type ticketPart struct {
	Key string `json:"key"`
}

// writeSettings writes the settings file of one host and returns its path.
func writeSettings(directory string, host experiment.Entry, addresses Addresses, common experiment.EntrySettings) (string, error) {
	ticket := common.Ticket
	if ticket == nil {
		var err error
		if ticket, err = json.Marshal(ticketPart{Key: ticketKey}); err != nil {
			return "", errors.WithStack(err)
		}
	}
	level := common.Level
	if level == "" {
		level = "warn"
	}
	raw, err := json.MarshalIndent(document{
		Name:     host.Name,
		Place:    host.Place,
		Size:     max(host.Size, 1),
		Caller:   listener{Listen: addresses.Caller},
		Operator: listener{Listen: addresses.Operator},
		Peer:     listener{Listen: addresses.Peer},
		Platform: platformURLs{Log: addresses.Log, Hosts: addresses.Hosts},
		Ticket:   ticket,
		Policy:   common.Policy,
		Lease:    common.Lease,
		Log:      logLevel{Level: level},
	}, "", "  ")
	if err != nil {
		return "", errors.WithStack(err)
	}
	path := filepath.Join(directory, host.Name+".json")
	return path, errors.WithStack(os.WriteFile(path, raw, 0o600))
}
