package platform

// Role is what a listed host does.
type Role string

// Roles of hosts.
const (
	RoleEntry  Role = "entry"
	RoleMinion Role = "minion"
	RoleWorker Role = "worker"
)

// HostState says whether a host may get new work.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone" // only in deltas: the host has left the list
)

// Host is one line of the host list.
type Host struct {
	Name         string    `json:"name"`
	Address      string    `json:"address"` // host:port
	Place        string    `json:"place"`
	Rack         string    `json:"rack,omitempty"`
	Role         Role      `json:"role"`
	Group        string    `json:"group,omitempty"` // the set of equal minions or workers it belongs to
	State        HostState `json:"state"`
	Size         int       `json:"size,omitempty"`        // relative capacity of an entry host
	Slots        int       `json:"slots,omitempty"`       // tasks a minion runs at once
	Connections  int       `json:"connections,omitempty"` // connections a minion accepts
	Cores        float64   `json:"cores,omitempty"`
	Memory       int64     `json:"memory,omitempty"` // bytes
	Accelerators int       `json:"accelerators,omitempty"`
}

// HostList answers GET /v1/hosts?since=VERSION&wait=DURATION with all hosts, or with the changes since a version.
type HostList struct {
	Version int64  `json:"version"`
	Full    bool   `json:"full"` // the list is whole and replaces what the reader had
	Hosts   []Host `json:"hosts"`
}
