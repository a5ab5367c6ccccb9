package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/standin/pkg/office"
)

func settings() *experiment.Settings {
	return &experiment.Settings{
		Seed:   1,
		Length: jsontime.Duration(100 * time.Second),
		Groups: []office.Group{{Name: "desk", Role: platform.RoleMinion, Count: 100, Slots: 8, Speeds: []float64{1}}},
		Owners: []experiment.Owner{{
			Name:   "o",
			Group:  "desk",
			Phases: []experiment.Phase{{Load: 0.5}, {From: jsontime.Duration(50 * time.Second), Load: 1}},
			Classes: []experiment.Class{
				{Name: "short", Share: 0.9, From: jsontime.Duration(time.Second), To: jsontime.Duration(time.Second)},
				{Name: "long", Share: 0.1, From: jsontime.Duration(2 * time.Second), To: jsontime.Duration(4 * time.Second)},
			},
			Tasks: experiment.Range{From: 1, To: 10},
		}},
	}
}

func TestArrivalsFollowTheSeedAndTheLoad(t *testing.T) {
	first, second := Arrivals(settings()), Arrivals(settings())
	require.Len(t, second, len(first))
	require.Equal(t, first[len(first)-1].Works, second[len(second)-1].Works)
	work := map[bool]float64{}
	for _, job := range first {
		require.LessOrEqual(t, len(job.Works), 10)
		work[job.At >= 50*time.Second] += job.Work().Seconds()
	}
	// The group does 800 seconds of work in a second.
	require.InEpsilon(t, 0.5*800*50, work[false], 0.1)
	require.InEpsilon(t, 1*800*50, work[true], 0.1)
}

func TestIdealIsOfTheLongestTask(t *testing.T) {
	job := Job{Works: []time.Duration{time.Second, 3 * time.Second}}
	require.Equal(t, 2*time.Second+time.Millisecond, job.Ideal(1.5, time.Millisecond))
}
