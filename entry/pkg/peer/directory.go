package peer

import "chervilusher.dev/entry/pkg/cell"

// WorkerInfo is a worker as the directory shows it.
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

// HostInfo is a host as the directory shows it.
type HostInfo struct {
	Name          string `json:"n"`
	Address       string `json:"a"` // of its listener for peers
	FailureDomain string `json:"p"`
	Size          int    `json:"s"`
	IsKeeper      bool   `json:"k,omitempty"` // it keeps a cell
}

// DirectoryRequest asks for what the peer knows of the directory.
type DirectoryRequest struct{}

// DirectoryResponse holds what the peer knows of the directory; no hosts mean that it has not read it either.
type DirectoryResponse struct {
	Hosts   []HostInfo   `json:"h,omitempty"`
	Workers []WorkerInfo `json:"w,omitempty"`
}

// ChangesRequest asks for what has changed in the directory since a position.
type ChangesRequest struct {
	Since     int64 `json:"s"`
	AllowFull bool  `json:"o,omitempty"` // the asker takes all workers where the changes are not known
}

// ChangesResponse holds the workers that changed up to a position of the directory.
type ChangesResponse struct {
	Known    bool         `json:"k,omitempty"` // without it the peer knows too little to tell
	Full     bool         `json:"o,omitempty"` // workers that are not named are not listed any more
	Position int64        `json:"p"`           // up to which the peer knows the directory
	Age      int64        `json:"a"`           // nanoseconds since the directory was read up to the position
	Workers  []WorkerInfo `json:"w,omitempty"`
	Removed  []string     `json:"g,omitempty"` // workers that are not listed any more
}
