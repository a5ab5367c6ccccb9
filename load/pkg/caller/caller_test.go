package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/workload"
	"chervilusher.dev/standin/pkg/task"
)

// fakeEntry answers every job with the echoes of its tasks after a delay.
func fakeEntry(t *testing.T, delay time.Duration, spoil func(*api.Answer)) Host {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.Ticket{Ticket: "t", Left: jsontime.Duration(time.Minute)})
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var submission api.Submission
		_ = json.NewDecoder(r.Body).Decode(&submission)
		answer := &api.Answer{Key: r.Header.Get(api.HeaderKey), State: api.StateComplete, Ran: api.RanYes}
		for _, wanted := range submission.Tasks {
			var payload task.Payload
			_ = json.Unmarshal(wanted.Payload, &payload)
			value, _ := json.Marshal(task.Value{Echo: payload.Echo, Minion: "m"})
			answer.Results = append(answer.Results, api.Result{Value: value})
		}
		spoil(answer)
		time.Sleep(delay)
		_ = json.NewEncoder(w).Encode(answer)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return Host{Address: strings.TrimPrefix(server.URL, "http://"), Size: 1}
}

func jobs(count int) []workload.Job {
	owner := &experiment.Owner{Name: "o"}
	class := &experiment.Class{Name: "c", Deadline: jsontime.Duration(time.Minute)}
	made := make([]workload.Job, count)
	for i := range made {
		made[i] = workload.Job{Owner: owner, Class: class, At: time.Duration(i) * time.Millisecond, Works: []time.Duration{1, 2}}
	}
	return made
}

func short() *experiment.Settings {
	return &experiment.Settings{Length: jsontime.Duration(100 * time.Millisecond), Settle: jsontime.Duration(30 * time.Second)}
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	const delay = 500 * time.Millisecond
	host := fakeEntry(t, delay, func(*api.Answer) {})
	start := time.Now()
	outcomes := New(short(), []Host{host}).Run(t.Context(), jobs(50), start)
	require.Less(t, time.Since(start), 50*delay)
	for _, outcome := range outcomes {
		require.True(t, outcome.InTime())
		require.False(t, outcome.Foreign)
		require.GreaterOrEqual(t, outcome.Response(), delay)
	}
}

func TestForeignResultsAreNoticed(t *testing.T) {
	host := fakeEntry(t, 0, func(answer *api.Answer) { answer.Results[0] = answer.Results[1] })
	for _, outcome := range New(short(), []Host{host}).Run(t.Context(), jobs(3), time.Now()) {
		require.True(t, outcome.Foreign)
	}
}

func TestRefusedConnectionsGoToAnotherHost(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(dead.URL, "http://")
	dead.Close()
	host := fakeEntry(t, 0, func(*api.Answer) {})
	outcomes := New(short(), []Host{{Address: address, Size: 5}, host}).Run(t.Context(), jobs(20), time.Now())
	for _, outcome := range outcomes {
		require.Equal(t, api.StateComplete, outcome.State)
	}
}

func TestResubmissionsMustAgree(t *testing.T) {
	var count atomic.Int64
	host := fakeEntry(t, 10*time.Millisecond, func(answer *api.Answer) {
		if count.Add(1) == 2 {
			answer.Results = nil
		}
	})
	sent := jobs(1)
	sent[0].Resubmit = true
	outcomes := New(short(), []Host{host}).Run(t.Context(), sent, time.Now())
	require.True(t, outcomes[0].Mismatch)
}
