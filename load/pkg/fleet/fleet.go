package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/logservice"
	"chervilusher.dev/load/pkg/entry"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/standin/pkg/office"
)

// settleTime lets the hosts hear of each other and of the back ends before the first arrival.
const settleTime = 3 * time.Second

// Range of the entry hosts' addresses; the ports are below those that the system gives to clients.
const (
	loopbackParts = 250
	firstPort     = 7000
)

// Fleet is the running system of one experiment.
type Fleet struct {
	Office    *office.Office
	Entries   []*entry.Process
	directory string
}

// New starts the stand-ins in this process and the entry hosts as processes of the program; call Close to end them.
func New(ctx context.Context, settings *experiment.Settings, program string) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "chervilusher-load-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	fleet := &Fleet{directory: directory}
	if err = fleet.start(ctx, settings, program); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// Entry returns the process of that name, or nil.
func (f *Fleet) Entry(name string) *entry.Process {
	for _, process := range f.Entries {
		if process.Host.Name == name {
			return process
		}
	}
	return nil
}

// Directory returns where the hosts' settings and logs are.
func (f *Fleet) Directory() string {
	return f.directory
}

// Close ends the entry hosts and the stand-ins.
func (f *Fleet) Close() {
	done := make(chan struct{})
	for _, process := range f.Entries {
		go func() {
			process.Close()
			done <- struct{}{}
		}()
	}
	for range f.Entries {
		<-done
	}
	if f.Office != nil {
		f.Office.Close()
	}
}

func (f *Fleet) start(ctx context.Context, settings *experiment.Settings, program string) error {
	addresses := chooseAddresses(len(settings.Entries))
	var err error
	if f.Office, err = office.New(clockwork.NewRealClock(), officeSettings(settings, addresses)); err != nil {
		return err
	}
	client := &http.Client{}
	log := logservice.New("http://"+f.Office.Log.Address(), client)
	for i := range settings.Owners {
		if err = publish(ctx, log, settings, &settings.Owners[i]); err != nil {
			return err
		}
	}
	for i, host := range settings.Entries {
		addresses[i].Log = "http://" + f.Office.Log.Address()
		addresses[i].Hosts = "http://" + f.Office.Hosts.Address()
		process, failure := entry.New(program, f.directory, host, addresses[i], settings.Entry, client)
		if failure != nil {
			return failure
		}
		if failure = process.Start(); failure != nil {
			return failure
		}
		f.Entries = append(f.Entries, process)
	}
	for _, process := range f.Entries {
		if err = process.AwaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

func officeSettings(settings *experiment.Settings, addresses []entry.Addresses) office.Settings {
	wanted := office.Settings{Groups: settings.Groups, Seed: settings.Seed}
	wanted.Log.Listen = "127.0.0.1:0"
	wanted.Log.Rate = settings.Log.Rate
	wanted.Log.Sync = settings.Log.Sync
	wanted.Hosts.Listen = "127.0.0.1:0"
	for i, host := range settings.Entries {
		wanted.Entries = append(wanted.Entries, office.Entry{
			Name:    host.Name,
			Address: addresses[i].Peer,
			Place:   host.Place,
			Size:    host.Size,
		})
	}
	return wanted
}

// chooseAddresses gives the hosts ports on a loopback address of the run's own, so that runs side by side do not meet.
func chooseAddresses(hosts int) []entry.Addresses {
	ip := fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(loopbackParts), rand.IntN(loopbackParts))
	port := firstPort
	next := func() string {
		port++
		return net.JoinHostPort(ip, strconv.Itoa(port))
	}
	chosen := make([]entry.Addresses, hosts)
	for i := range chosen {
		chosen[i] = entry.Addresses{Caller: next(), Operator: next(), Peer: next()}
	}
	return chosen
}
