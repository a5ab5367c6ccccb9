package peer

import (
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
)

// WorkerInfo is the directory entry of a worker.
type WorkerInfo struct {
	ID            string         `json:"i"`
	Address       string         `json:"a"` // host:port
	FailureDomain string         `json:"p"`
	Rack          string         `json:"r,omitempty"`
	Kind          string         `json:"k,omitempty"`
	Group         string         `json:"g"`
	Capacity      cell.Resources `json:"c"`
	Leaving       bool           `json:"l,omitempty"`
}

// Check returns an error unless the entry names a worker that can be called and whose capacity is possible. Entries come
// from other writers, and from peers of earlier versions, which do not check them.
func (w *WorkerInfo) Check() error {
	if err := CheckName(w.ID); err != nil {
		return errors.Wrap(err, "name")
	}
	if err := CheckAddress(w.Address); err != nil {
		return err
	}
	if err := CheckName(w.FailureDomain); err != nil {
		return errors.Wrap(err, "failure domain")
	}
	if err := CheckName(w.Group); err != nil {
		return errors.Wrap(err, "group")
	}
	if err := checkText(w.Rack); err != nil {
		return errors.Wrap(err, "rack")
	}
	if err := checkText(w.Kind); err != nil {
		return errors.Wrap(err, "kind")
	}
	return w.Capacity.CheckCapacity()
}

// HostInfo is the directory entry of a host.
type HostInfo struct {
	Name          string `json:"n"`
	Address       string `json:"a"` // of its peer listener
	FailureDomain string `json:"p"`
	Size          int    `json:"s"`
	IsKeeper      bool   `json:"k,omitempty"` // it owns a cell
}

// Check returns an error unless the entry names a host that can be called.
func (h *HostInfo) Check() error {
	if err := CheckName(h.Name); err != nil {
		return errors.Wrap(err, "name")
	}
	if err := CheckAddress(h.Address); err != nil {
		return err
	}
	return errors.Wrap(CheckName(h.FailureDomain), "failure domain")
}

// DirectoryRequest asks for the peer's copy of the directory.
type DirectoryRequest struct{}

// DirectoryResponse holds the peer's copy of the directory; without hosts, the peer has not read it either.
type DirectoryResponse struct {
	Hosts   []HostInfo   `json:"h,omitempty"`
	Workers []WorkerInfo `json:"w,omitempty"`
}

// ChangesRequest asks for the changes of the directory since a position.
type ChangesRequest struct {
	Since     int64 `json:"s"`
	AllowFull bool  `json:"o,omitempty"` // the sender accepts the full list if the changes are not known
}

// ChangesResponse holds the workers that changed up to a position of the directory.
type ChangesResponse struct {
	Known    bool         `json:"k,omitempty"` // false if the peer does not know the changes
	Full     bool         `json:"o,omitempty"` // the list is complete: workers that it lacks were removed
	Position int64        `json:"p"`           // up to which the peer knows the directory
	Age      int64        `json:"a"`           // nanoseconds since the directory was read up to the position
	Workers  []WorkerInfo `json:"w,omitempty"`
	Removed  []string     `json:"g,omitempty"` // workers removed from the directory
}
