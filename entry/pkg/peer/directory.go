package peer

import "chervilusher.dev/entry/pkg/cell"

// WorkerInfo is a worker as the directory shows it.
type WorkerInfo struct {
	ID       string    `json:"i"`
	Address  string    `json:"a"` // host:port
	Place    string    `json:"p"`
	Rack     string    `json:"r,omitempty"`
	Kind     string    `json:"k,omitempty"`
	Group    string    `json:"g"`
	Capacity cell.Room `json:"c"`
	Leaving  bool      `json:"l,omitempty"`
}

// HostInfo is a host as the directory shows it.
type HostInfo struct {
	Name    string `json:"n"`
	Address string `json:"a"` // of its listener for peers
	Place   string `json:"p"`
	Size    int    `json:"s"`
	Keeps   bool   `json:"k,omitempty"` // it keeps a cell
}

// DirectoryRequest asks for what the peer knows of the directory.
type DirectoryRequest struct{}

// DirectoryResponse holds what the peer knows of the directory; no hosts mean that it has not read it either.
type DirectoryResponse struct {
	Hosts   []HostInfo   `json:"h,omitempty"`
	Workers []WorkerInfo `json:"w,omitempty"`
}
