package workload

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/load/pkg/experiment"
)

// Job is one arrival.
type Job struct {
	Owner    *experiment.Owner
	Class    *experiment.Class
	Role     platform.Role   // of the owner's back ends
	At       time.Duration   // of the intended send, from the start
	Works    []time.Duration // run time of each task at speed 1
	Declared []time.Duration // as told to the dispatcher; empty declares none
	Resubmit bool
}

// Arrivals returns the jobs of all owners in the order of their times.
func Arrivals(settings *experiment.Settings) []Job {
	var jobs []Job
	for i := range settings.Owners {
		owner := &settings.Owners[i]
		jobs = append(jobs, ownerArrivals(settings, owner)...)
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	return jobs
}

func ownerArrivals(settings *experiment.Settings, owner *experiment.Owner) []Job {
	name := fnv.New64a()
	_, _ = name.Write([]byte(owner.Name))
	source := rand.New(rand.NewPCG(settings.Seed, name.Sum64()))
	demand := newDemand(settings, owner)
	top := demand.highest()
	if top <= 0 {
		return nil
	}
	var jobs []Job
	at := time.Duration(0)
	for {
		at += time.Duration(source.ExpFloat64() / top * float64(time.Second))
		if at >= settings.Length.Std() {
			return jobs
		}
		// An arrival at the highest rate is kept with the chance that the present rate gives it.
		if source.Float64() < demand.at(at)/top {
			job := drawJob(source, owner, at)
			job.Role = settings.Group(owner.Group).Role
			jobs = append(jobs, job)
		}
	}
}

func drawJob(source *rand.Rand, owner *experiment.Owner, at time.Duration) Job {
	class := drawClass(source, owner)
	job := Job{Owner: owner, Class: class, At: at}
	for range drawTasks(source, owner.Tasks) {
		spread := float64(class.To - class.From)
		work := class.From.Std() + time.Duration(source.Float64()*spread)
		job.Works = append(job.Works, work)
		if owner.Declared > 0 {
			factor := math.Pow(owner.Declared, 2*source.Float64()-1)
			job.Declared = append(job.Declared, time.Duration(float64(work)*factor))
		}
	}
	job.Resubmit = source.Float64() < owner.Resubmit
	return job
}

func drawClass(source *rand.Rand, owner *experiment.Owner) *experiment.Class {
	sum := 0.0
	for _, class := range owner.Classes {
		sum += class.Share
	}
	left := source.Float64() * sum
	for i := range owner.Classes {
		left -= owner.Classes[i].Share
		if left < 0 {
			return &owner.Classes[i]
		}
	}
	return &owner.Classes[len(owner.Classes)-1]
}

func drawTasks(source *rand.Rand, tasks experiment.Range) int {
	low, high := float64(max(tasks.From, 1)), float64(max(tasks.To, 1))
	return int(math.Round(low * math.Pow(high/low, source.Float64())))
}

// Ideal returns the response of a job that waits for nothing, at the median speed of its group.
func (j *Job) Ideal(medianSpeed float64, trips time.Duration) time.Duration {
	return time.Duration(float64(slices.Max(j.Works))/medianSpeed) + trips
}

// Work returns the run time of all tasks at speed 1.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, work := range j.Works {
		sum += work
	}
	return sum
}
