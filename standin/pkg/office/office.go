package office

import (
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/hostlist"
	"chervilusher.dev/standin/pkg/listen"
	"chervilusher.dev/standin/pkg/logservice"
	"chervilusher.dev/standin/pkg/minion"
	"chervilusher.dev/standin/pkg/relay"
	"chervilusher.dev/standin/pkg/task"
	"chervilusher.dev/standin/pkg/worker"
)

// Backend is a minion or a worker.
type Backend interface {
	Name() string
	Address() string
	Faults() *control.Switch[minion.Faults]
	Server() *listen.Server
	Counters() task.Counters
	Marks() map[string]int64
	Close()
}

// Member is a back end with its group and speed.
type Member struct {
	Backend
	Group string
	Speed float64
}

// Office is the running stand-ins of one office.
type Office struct {
	Log     *logservice.Service
	Hosts   *hostlist.Service
	Members []Member
	Relays  []*relay.Relay
	// Recorder counts the pieces of work that started again at any back end.
	Recorder *task.Recorder
	control  *listen.Server
}

// New starts the office; call Close to end it.
func New(clock clockwork.Clock, settings Settings) (*Office, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	office := &Office{Recorder: task.NewRecorder(settings.Memory)}
	if err := office.start(clock, settings); err != nil {
		office.Close()
		return nil, err
	}
	return office, nil
}

// Member returns the back end of that name, or nil.
func (o *Office) Member(name string) *Member {
	for i := range o.Members {
		if o.Members[i].Name() == name {
			return &o.Members[i]
		}
	}
	return nil
}

// Counters returns the sum over a group's back ends; an empty name means all groups.
func (o *Office) Counters(group string) task.Counters {
	var sum task.Counters
	for _, member := range o.Members {
		if group == "" || member.Group == group {
			sum = sum.Add(member.Counters())
		}
	}
	return sum
}

// Marks returns how often each payload's mark was started, over all back ends.
func (o *Office) Marks() map[string]int64 {
	sum := map[string]int64{}
	for _, member := range o.Members {
		for mark, starts := range member.Marks() {
			sum[mark] += starts
		}
	}
	return sum
}

// Control returns the address of the control interface, or an empty string.
func (o *Office) Control() string {
	if o.control == nil {
		return ""
	}
	return o.control.Address()
}

// Close ends all stand-ins.
func (o *Office) Close() {
	if o.control != nil {
		o.control.Down()
	}
	for _, forwarder := range o.Relays {
		forwarder.Close()
	}
	for _, member := range o.Members {
		member.Close()
	}
	if o.Hosts != nil {
		o.Hosts.Close()
	}
	if o.Log != nil {
		o.Log.Close()
	}
}

func (o *Office) start(clock clockwork.Clock, settings Settings) error {
	hosts := make([]platform.Host, 0, len(settings.Entries))
	for _, entry := range settings.Entries {
		hosts = append(hosts, entry.host())
	}
	for _, group := range settings.Groups {
		members, err := o.startGroup(clock, group.withDefaults(), settings.Seed)
		if err != nil {
			return errors.Wrapf(err, "group %s", group.Name)
		}
		hosts = append(hosts, members...)
	}
	var err error
	if o.Log, err = logservice.New(clock, settings.Log); err != nil {
		return errors.Wrap(err, "log")
	}
	if o.Hosts, err = hostlist.New(clock, settings.Hosts, hosts); err != nil {
		return errors.Wrap(err, "hosts")
	}
	for _, wanted := range settings.Relays {
		forwarder, failure := relay.New(clock, wanted)
		if failure != nil {
			return errors.Wrapf(failure, "relay %s", wanted.Name)
		}
		o.Relays = append(o.Relays, forwarder)
	}
	if settings.Control == "" {
		return nil
	}
	o.control, err = listen.New(settings.Control, 0, o.routes())
	return errors.Wrap(err, "control")
}

// startGroup starts a group's back ends and returns their lines of the host list.
func (o *Office) startGroup(clock clockwork.Clock, group Group, seed uint64) ([]platform.Host, error) {
	hosts := make([]platform.Host, 0, group.Count)
	for i := range group.Count {
		host := group.host(i)
		backend, err := o.startBackend(clock, group, host, i, seed+uint64(i))
		if err != nil {
			return nil, err
		}
		host.Address = backend.Address()
		hosts = append(hosts, host)
		o.Members = append(o.Members, Member{Backend: backend, Group: group.Name, Speed: group.Speed(i)})
	}
	return hosts, nil
}

func (o *Office) startBackend(clock clockwork.Clock, group Group, host platform.Host, index int, seed uint64) (Backend, error) {
	if group.Role == platform.RoleMinion {
		return minion.New(clock, minion.Settings{
			Name:        host.Name,
			Listen:      group.listen(index),
			Slots:       group.Slots,
			Connections: group.Connections,
			Speed:       group.Speed(index),
			Ledger:      group.Ledger,
			Seed:        seed,
			Recorder:    o.Recorder,
		})
	}
	return worker.New(clock, worker.Settings{
		Name:         host.Name,
		Listen:       group.listen(index),
		Cores:        group.Cores,
		Memory:       group.Memory,
		Accelerators: group.Accelerators,
		Speed:        group.Speed(index),
		Lag:          group.Lag,
		Ledger:       group.Ledger,
		Seed:         seed,
		Recorder:     o.Recorder,
	})
}
