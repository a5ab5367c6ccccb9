package minion

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/platform"
)

func start(t testing.TB, settings Settings) *Minion {
	t.Helper()
	settings.Listen = "127.0.0.1:0"
	settings.Name = "m"
	minion, err := New(clockwork.NewRealClock(), settings)
	require.NoError(t, err)
	t.Cleanup(minion.Close)
	return minion
}

// send returns the status, the headers and the body of one request.
func send(t testing.TB, client *http.Client, method, url, body string) (int, http.Header, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	response, err := client.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header, string(raw)
}

func TestTaskRunsAndEchoes(t *testing.T) {
	minion := start(t, Settings{Speed: 2})
	url := "http://" + minion.Address() + "/v1/tasks/t1"
	code, header, body := send(t, http.DefaultClient, http.MethodPost, url, `{"work":"20ms","echo":7}`)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "t1", header.Get(platform.HeaderTask))
	require.JSONEq(t, `{"echo":7,"minion":"m"}`, body)
	_, _, body = send(t, http.DefaultClient, http.MethodGet, url, "")
	require.Contains(t, body, `"done"`)
	require.EqualValues(t, 1, minion.Counters().Answered)
}

func TestRefusalsStartNothing(t *testing.T) {
	minion := start(t, Settings{Slots: 1})
	base := "http://" + minion.Address() + "/v1/tasks/"
	send(t, http.DefaultClient, http.MethodDelete, base+"withdrawn", "")
	code, header, _ := send(t, http.DefaultClient, http.MethodPost, base+"withdrawn", "")
	require.Equal(t, http.StatusGone, code)
	require.Equal(t, "no", header.Get(platform.HeaderRan))

	var long sync.WaitGroup
	long.Go(func() { send(t, http.DefaultClient, http.MethodPost, base+"long", `{"work":"1h"}`) })
	require.Eventually(t, func() bool { return minion.Counters().Running == 1 }, 5*time.Second, time.Millisecond)
	code, header, _ = send(t, http.DefaultClient, http.MethodPost, base+"second", "")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "no", header.Get(platform.HeaderRan))
	require.EqualValues(t, 1, minion.Counters().Starts)
	send(t, http.DefaultClient, http.MethodDelete, base+"long", "")
	require.Eventually(t, func() bool { return minion.Counters().Running == 0 }, 5*time.Second, time.Millisecond)
	long.Wait() // its answer may come after the task has stopped running
}

func TestFaults(t *testing.T) {
	minion := start(t, Settings{})
	base := "http://" + minion.Address()
	code, _, _ := send(t, http.DefaultClient, http.MethodPost, base+"/control/faults", `{"fail":true}`)
	require.Equal(t, http.StatusOK, code)
	code, header, _ := send(t, http.DefaultClient, http.MethodPost, base+"/v1/tasks/t1", `{"work":"1h"}`)
	require.Equal(t, http.StatusInternalServerError, code)
	require.Empty(t, header.Get(platform.HeaderRan))

	minion.Faults().Set(Faults{Crossed: 1})
	_, header, _ = send(t, http.DefaultClient, http.MethodPost, base+"/v1/tasks/t2", "")
	require.NotEqual(t, "t2", header.Get(platform.HeaderTask))

	minion.Faults().Set(Faults{Lost: 1})
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+"/v1/tasks/t3", nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	require.EqualValues(t, 1, minion.Counters().Lost)

	code, _, _ = send(t, http.DefaultClient, http.MethodPost, base+"/control/faults", `{"unknown":true}`)
	require.Equal(t, http.StatusBadRequest, code)
}

// BenchmarkStart shows what one task costs client, connection and minion together.
func BenchmarkStart(b *testing.B) {
	minion := start(b, Settings{Slots: 1000, Connections: 1000})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	b.Cleanup(client.CloseIdleConnections)
	url := "http://" + minion.Address() + "/v1/tasks/t"
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			code, _, _ := send(b, client, http.MethodPost, url, `{"work":"1ms","echo":7}`)
			require.Equal(b, http.StatusOK, code)
		}
	})
}
