package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
)

func call(t *testing.T, method, url string, body, into any) (int, http.Header) {
	t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(raw))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(into)
	return response.StatusCode, response.Header
}

func TestStaleFencesAndFullWorkersStartNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	worker, err := New(clock, Settings{Listen: "127.0.0.1:0", Cores: 2})
	require.NoError(t, err)
	defer worker.Close()
	base := "http://" + worker.Address()
	var lease platform.Lease
	request := platform.LeaseRequest{Holder: "h", Length: jsontime.Duration(time.Minute)}
	code, _ := call(t, http.MethodPost, base+"/v1/lease", request, &lease)
	require.Equal(t, http.StatusOK, code)

	var status platform.TaskStatus
	start := platform.TaskStart{Fence: lease.Fence, Cores: 2, Payload: json.RawMessage(`{"work":"30ms"}`)}
	code, _ = call(t, http.MethodPost, base+"/v1/tasks/a", start, &status)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, platform.TaskRunning, status.State)
	code, header := call(t, http.MethodPost, base+"/v1/tasks/b", start, &status)
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "no", header.Get(platform.HeaderRan))
	clock.Advance(30 * time.Millisecond)
	code, _ = call(t, http.MethodGet, base+"/v1/tasks/a?wait=10s", nil, &status)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, platform.TaskDone, status.State)

	start.Fence--
	code, header = call(t, http.MethodPost, base+"/v1/tasks/b", start, &status)
	require.Equal(t, http.StatusConflict, code)
	require.Equal(t, "no", header.Get(platform.HeaderRan))
	require.EqualValues(t, 1, worker.Counters().Starts)
}

func TestLeases(t *testing.T) {
	clock := clockwork.NewFakeClock()
	held := &leases{clock: clock}
	first, ok := held.take(platform.LeaseRequest{Holder: "a", Length: jsontime.Duration(time.Second)})
	require.True(t, ok)
	_, ok = held.take(platform.LeaseRequest{Holder: "b", Length: jsontime.Duration(time.Second)})
	require.False(t, ok)
	_, ok = held.take(platform.LeaseRequest{Holder: "a", Fence: first.Fence, Length: jsontime.Duration(time.Second)})
	require.True(t, ok)
	clock.Advance(time.Second)
	require.False(t, held.valid(first.Fence))
	_, ok = held.take(platform.LeaseRequest{Holder: "a", Fence: first.Fence, Length: jsontime.Duration(time.Second)})
	require.False(t, ok, "a lapsed lease is not renewed")
	second, ok := held.take(platform.LeaseRequest{Holder: "b", Length: jsontime.Duration(time.Second)})
	require.True(t, ok)
	require.Greater(t, second.Fence, first.Fence)
	_, ok = held.giveBack(first.Fence)
	require.False(t, ok)
	_, ok = held.giveBack(second.Fence)
	require.True(t, ok)
	require.False(t, held.valid(second.Fence))
}

func TestUsageLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	space := newRoom(clock, Settings{Cores: 4, Memory: 4, Lag: jsontime.Duration(time.Second)})
	require.True(t, space.take(platform.TaskStart{Cores: 3}))
	require.False(t, space.take(platform.TaskStart{Cores: 3}))
	require.Zero(t, space.report().Cores)
	clock.Advance(time.Second)
	require.EqualValues(t, 3, space.report().Cores)
}
