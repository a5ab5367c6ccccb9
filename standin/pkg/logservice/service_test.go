package logservice

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	client "chervilusher.dev/lib/logservice"
	"chervilusher.dev/standin/pkg/control"
)

func start(t *testing.T, settings Settings) (*Service, *client.Client) {
	t.Helper()
	settings.Listen = "127.0.0.1:0"
	service, err := New(clockwork.NewRealClock(), settings)
	require.NoError(t, err)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		service.Close()
		goleak.VerifyNone(t)
	})
	return service, client.New("http://"+service.Address(), &http.Client{Transport: transport})
}

func TestAppendReadAndLongPoll(t *testing.T) {
	_, log := start(t, Settings{})
	ctx := context.Background()
	offset, err := log.Append(ctx, "a", "first")
	require.NoError(t, err)
	require.Zero(t, offset)
	go func() { _, _ = log.Append(ctx, "a", "second") }()
	batch, err := log.Read(ctx, "a", 1, 10, 10*time.Second)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
	require.JSONEq(t, `"second"`, string(batch.Records[0].Data))
	require.EqualValues(t, 2, batch.Next)
}

func TestRetentionDropsTheOldest(t *testing.T) {
	_, log := start(t, Settings{Records: 2})
	ctx := context.Background()
	for range 5 {
		_, err := log.Append(ctx, "a", 1)
		require.NoError(t, err)
	}
	batch, err := log.Read(ctx, "a", 0, 10, 0)
	require.NoError(t, err)
	require.EqualValues(t, 3, batch.First)
	require.EqualValues(t, 5, batch.Next)
	require.Len(t, batch.Records, 2)
}

func TestAppendsBeyondTheRateAreRefused(t *testing.T) {
	service, log := start(t, Settings{Rate: 1})
	ctx := context.Background()
	_, err := log.Append(ctx, "a", 1)
	require.NoError(t, err)
	_, err = log.Append(ctx, "a", 1)
	require.ErrorContains(t, err, "429")
	require.EqualValues(t, 1, service.Counters().Refused)
}

func TestLostAnswerAfterTheEffect(t *testing.T) {
	service, log := start(t, Settings{})
	ctx := context.Background()
	service.Faults().Set(Faults{Lost: 1})
	_, err := log.Append(ctx, "a", 1)
	require.Error(t, err)
	service.Faults().Set(Faults{})
	batch, err := log.Read(ctx, "a", 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
}

func TestOutage(t *testing.T) {
	service, log := start(t, Settings{})
	service.Faults().Set(Faults{Outage: control.OutageError})
	_, err := log.Append(context.Background(), "a", 1)
	require.ErrorContains(t, err, "503")
	service.Faults().Set(Faults{Outage: control.OutageHang})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := log.Append(ctx, "a", 1)
		ended <- err
	}()
	// The append is given up only once it hangs: one that is still on its way would take effect after the outage.
	require.Eventually(t, func() bool { return service.gate.Held() == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Eventually(t, func() bool { return service.gate.Held() == 0 }, 10*time.Second, time.Millisecond)
	service.Faults().Set(Faults{})
	offset, err := log.Append(context.Background(), "a", 1)
	require.NoError(t, err)
	require.Zero(t, offset)
}
