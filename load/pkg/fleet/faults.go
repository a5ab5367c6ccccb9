package fleet

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/standin/pkg/office"
)

// PlayFaults applies each fault at its time after the start and returns after the last one.
func (f *Fleet) PlayFaults(ctx context.Context, faults []experiment.Fault, start time.Time) {
	for _, fault := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(fault.At.Std()))):
		}
		if err := f.apply(fault); err != nil {
			log.WithError(err).WithField("at", fault.At.String()).Error("faults: cannot apply a fault")
		}
	}
}

func (f *Fleet) apply(fault experiment.Fault) error {
	if fault.Log != nil {
		f.Office.Log.Faults().Set(*fault.Log)
	}
	if fault.Hosts != nil {
		f.Office.Hosts.Faults().Set(*fault.Hosts)
	}
	if fault.State != nil {
		if err := f.Office.Hosts.SetState(fault.State.Name, fault.State.State); err != nil {
			return err
		}
	}
	if fault.Backends != nil {
		wanted := office.BackendFaults{
			Names:  f.Chosen(fault.Backends),
			Faults: fault.Backends.Faults,
			Down:   fault.Backends.Down,
		}
		if err := f.Office.SetBackendFaults(wanted); err != nil {
			return err
		}
	}
	if fault.Entry == nil {
		return nil
	}
	process := f.Entry(fault.Entry.Name)
	if process == nil {
		return errors.Errorf("no entry host is named %q", fault.Entry.Name)
	}
	return process.Signal(fault.Entry.Signal)
}

// Chosen returns the names of the back ends that a fault is meant for.
func (f *Fleet) Chosen(fault *experiment.BackendFault) []string {
	var names []string
	index := 0
	for _, member := range f.Office.Members {
		if member.Group != fault.Group {
			continue
		}
		if index >= fault.First && (index-fault.First)%max(fault.Every, 1) == 0 {
			names = append(names, member.Name())
		}
		index++
	}
	return names
}
