package experiment

import (
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/settings"
)

// Defaults of an experiment.
const (
	defaultSettle = 45 * time.Second
	defaultTrips  = 200 * time.Microsecond
)

// maxTasks is the largest number of tasks in one job.
const maxTasks = 290

// Load reads and checks the experiment at path and fills in the defaults.
func Load(path string) (*Settings, error) {
	loaded := &Settings{
		Seed:   1,
		Scale:  1,
		Settle: jsontime.Duration(defaultSettle),
		Trips:  jsontime.Duration(defaultTrips),
	}
	if err := settings.Load(path, loaded); err != nil {
		return nil, err
	}
	if err := loaded.Check(); err != nil {
		return nil, errors.Wrapf(err, "experiment %s", path)
	}
	loaded.scaleTimes()
	return loaded, nil
}

// Check returns an error that names the first wrong field.
func (s *Settings) Check() error {
	if s.Name == "" {
		return errors.New("name is empty")
	}
	if s.Length <= 0 {
		return errors.New("length must be above 0s")
	}
	if s.Scale <= 0 {
		return errors.Errorf("scale is %v; give a number above 0", s.Scale)
	}
	if len(s.Entries) == 0 {
		return errors.New("entries is empty")
	}
	if len(s.Owners) == 0 {
		return errors.New("owners is empty")
	}
	for _, owner := range s.Owners {
		if err := s.checkOwner(owner); err != nil {
			return errors.Wrapf(err, "owner %q", owner.Name)
		}
	}
	for i, fault := range s.Faults {
		if fault.Backends != nil && s.Group(fault.Backends.Group) == nil {
			return errors.Errorf("faults[%d] names the group %q, which is not among groups", i, fault.Backends.Group)
		}
	}
	return nil
}

func (s *Settings) checkOwner(owner Owner) error {
	if s.Group(owner.Group) == nil {
		return errors.Errorf("group %q is not among groups", owner.Group)
	}
	if len(owner.Phases) == 0 || len(owner.Classes) == 0 {
		return errors.New("needs phases and classes")
	}
	for i, phase := range owner.Phases {
		if phase.Load < 0 || phase.Rate < 0 || phase.Swing < 0 || phase.Swing > 1 {
			return errors.Errorf("phases[%d] has a load, a rate or a swing out of range", i)
		}
		if phase.Swing > 0 && phase.Period <= 0 {
			return errors.Errorf("phases[%d] swings without a period", i)
		}
		if i > 0 && phase.From <= owner.Phases[i-1].From {
			return errors.Errorf("phases[%d] does not start after the one before", i)
		}
	}
	for i, class := range owner.Classes {
		if class.Share < 0 || class.From < 0 || class.To < class.From {
			return errors.Errorf("classes[%d] has a share or run times out of range", i)
		}
	}
	if owner.Tasks.To > maxTasks || owner.Tasks.To < owner.Tasks.From {
		return errors.Errorf("tasks goes from %d to %d; at most %d", owner.Tasks.From, owner.Tasks.To, maxTasks)
	}
	return nil
}

// scaleTimes divides the run times and deadlines by the scale.
func (s *Settings) scaleTimes() {
	for o := range s.Owners {
		for c := range s.Owners[o].Classes {
			class := &s.Owners[o].Classes[c]
			class.From = divide(class.From, s.Scale)
			class.To = divide(class.To, s.Scale)
			class.Deadline = divide(class.Deadline, s.Scale)
		}
	}
}

func divide(length jsontime.Duration, by float64) jsontime.Duration {
	return jsontime.Duration(float64(length) / by)
}
