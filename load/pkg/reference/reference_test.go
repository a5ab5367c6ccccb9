package reference

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/load/pkg/workload"
)

func job(at, work time.Duration) workload.Job {
	return workload.Job{At: at, Works: []time.Duration{work}}
}

func TestFastestFreeSlotAndQueue(t *testing.T) {
	fleet := Fleet{Speeds: []float64{1, 2}, Slots: 1}
	jobs := []workload.Job{
		job(0, 2*time.Second),                    // on the fast one until 1 s
		job(0, 2*time.Second),                    // on the slow one until 2 s
		job(100*time.Millisecond, 2*time.Second), // waits for the fast one, until 2 s
	}
	responses := Responses(fleet, FastestFree, jobs)
	require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 1900 * time.Millisecond}, responses)
}

func TestLeastBusySpreads(t *testing.T) {
	fleet := Fleet{Speeds: []float64{1, 1}, Slots: 2}
	choose := LeastBusy(1)
	require.Equal(t, 1, choose(fleet, []int{1, 0}))
	require.Equal(t, 0, choose(fleet, []int{1, 2}))
	require.Equal(t, -1, choose(fleet, []int{2, 2}))
}
