package office

import (
	"fmt"
	"net"
	"strconv"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/hostlist"
	"chervilusher.dev/standin/pkg/logservice"
	"chervilusher.dev/standin/pkg/relay"
)

// Settings describes an office's stand-ins.
type Settings struct {
	Log     logservice.Settings `json:"log"`
	Hosts   hostlist.Settings   `json:"hosts"`
	Control string              `json:"control,omitempty"` // host:port that switches faults of all of them; empty means none
	Groups  []Group             `json:"groups"`
	Entries []Entry             `json:"entries,omitempty"`
	Relays  []relay.Settings    `json:"relays,omitempty"`
	Seed    uint64              `json:"seed,omitempty"`
	Memory  int                 `json:"memory,omitempty"` // pieces of work in which repeated starts are found
}

// Group is a set of equal minions or workers.
type Group struct {
	Name         string            `json:"name"`
	Role         platform.Role     `json:"role"`    // minion or worker
	Places       []string          `json:"places"`  // each gets an equal part
	Count        int               `json:"count"`   // of all places together
	Address      string            `json:"address"` // IP number
	Port         int               `json:"port"`    // of the first one; zero lets the system choose
	Slots        int               `json:"slots,omitempty"`
	Connections  int               `json:"connections,omitempty"`
	Speeds       []float64         `json:"speeds,omitempty"` // taken in turn
	Cores        float64           `json:"cores,omitempty"`
	Memory       int64             `json:"memory,omitempty"` // bytes
	Accelerators int               `json:"accelerators,omitempty"`
	Rack         int               `json:"rack,omitempty"`   // hosts in a rack
	Lag          jsontime.Duration `json:"lag,omitempty"`    // of a worker's reported usage
	Ledger       int               `json:"ledger,omitempty"` // tasks that each one remembers
}

// Entry is an entry host in the host list; the office does not run it.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port that its peers use
	Place   string `json:"place"`
	Size    int    `json:"size,omitempty"`
}

// Defaults of a group, from the sizes that the offices have today.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultRack        = 8
	defaultCores       = 16
	defaultMemory      = 32 << 30
)

// maxPort is the highest port number.
const maxPort = 65535

// Check returns an error that names the first wrong field.
func (s Settings) Check() error {
	if s.Log.Listen == "" {
		return errors.New("log.listen is empty; give host:port")
	}
	if s.Hosts.Listen == "" {
		return errors.New("hosts.listen is empty; give host:port")
	}
	for i, group := range s.Groups {
		if err := group.check(); err != nil {
			return errors.Wrapf(err, "groups[%d]", i)
		}
	}
	for i, entry := range s.Entries {
		if entry.Name == "" || entry.Address == "" || entry.Place == "" {
			return errors.Errorf("entries[%d] needs a name, an address and a place", i)
		}
	}
	return nil
}

func (g Group) check() error {
	if g.Name == "" {
		return errors.New("name is empty")
	}
	if g.Role != platform.RoleMinion && g.Role != platform.RoleWorker {
		return errors.Errorf("role is %q; give %q or %q", g.Role, platform.RoleMinion, platform.RoleWorker)
	}
	if len(g.Places) == 0 {
		return errors.New("places is empty")
	}
	if g.Count <= 0 {
		return errors.Errorf("count is %d; give 1 or more", g.Count)
	}
	if net.ParseIP(g.Address) == nil {
		return errors.Errorf("address is %q; give an IP number", g.Address)
	}
	if g.Port < 0 || g.Port+g.Count-1 > maxPort {
		return errors.Errorf("ports %d to %d are out of range", g.Port, g.Port+g.Count-1)
	}
	for _, speed := range g.Speeds {
		if speed <= 0 {
			return errors.Errorf("speeds holds %v; give numbers above 0", speed)
		}
	}
	return nil
}

func (g Group) withDefaults() Group {
	if g.Rack == 0 {
		g.Rack = defaultRack
	}
	if len(g.Speeds) == 0 {
		g.Speeds = []float64{1}
	}
	if g.Role == platform.RoleMinion {
		g.Slots = orDefault(g.Slots, defaultSlots)
		g.Connections = orDefault(g.Connections, defaultConnections)
		return g
	}
	g.Cores = orDefault(g.Cores, defaultCores)
	g.Memory = orDefault(g.Memory, defaultMemory)
	return g
}

func orDefault[T int | int64 | float64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Speed returns the speed of the group's member of that index.
func (g Group) Speed(index int) float64 {
	if len(g.Speeds) == 0 {
		return 1
	}
	return g.Speeds[index%len(g.Speeds)]
}

// listen returns where the member of that index listens.
func (g Group) listen(index int) string {
	port := 0
	if g.Port > 0 {
		port = g.Port + index
	}
	return net.JoinHostPort(g.Address, strconv.Itoa(port))
}

// host returns the host list's line of the member of that index, without its address.
func (g Group) host(index int) platform.Host {
	place := index * len(g.Places) / g.Count
	firstOfPlace := (place*g.Count + len(g.Places) - 1) / len(g.Places)
	return platform.Host{
		Name:         fmt.Sprintf("%s-%d", g.Name, index),
		Place:        g.Places[place],
		Rack:         fmt.Sprintf("%s-%s-%d", g.Name, g.Places[place], (index-firstOfPlace)/g.Rack),
		Role:         g.Role,
		Group:        g.Name,
		State:        platform.HostLive,
		Slots:        g.Slots,
		Connections:  g.Connections,
		Cores:        g.Cores,
		Memory:       g.Memory,
		Accelerators: g.Accelerators,
	}
}

func (e Entry) host() platform.Host {
	return platform.Host{
		Name:    e.Name,
		Address: e.Address,
		Place:   e.Place,
		Role:    platform.RoleEntry,
		State:   platform.HostLive,
		Size:    orDefault(e.Size, 1),
	}
}
