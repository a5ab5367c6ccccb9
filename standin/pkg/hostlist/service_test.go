package hostlist

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
)

func TestDeltasAppearAfterTheLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	hosts := []platform.Host{{Name: "a", State: platform.HostLive}, {Name: "b", State: platform.HostLive}}
	settings := Settings{Listen: "127.0.0.1:0", Lag: jsontime.Duration(time.Second)}
	service, err := New(clock, settings, hosts)
	require.NoError(t, err)
	defer service.Close()

	full := service.await(context.Background(), 0, 0)
	require.True(t, full.Full)
	require.Len(t, full.Hosts, 2)

	require.NoError(t, service.SetState("a", platform.HostGone))
	require.Empty(t, service.await(context.Background(), full.Version, 0).Hosts)
	clock.Advance(time.Second)
	require.Eventually(t, func() bool {
		delta := service.await(context.Background(), full.Version, 0)
		return len(delta.Hosts) == 1 && !delta.Full && delta.Hosts[0].State == platform.HostGone
	}, 5*time.Second, time.Millisecond)
	require.Len(t, service.await(context.Background(), 0, 0).Hosts, 1)
	require.Error(t, service.SetState("nobody", platform.HostGone))
}

func TestReaderFromTheFutureGetsTheWholeList(t *testing.T) {
	service, err := New(clockwork.NewFakeClock(), Settings{Listen: "127.0.0.1:0"}, []platform.Host{{Name: "a"}})
	require.NoError(t, err)
	defer service.Close()
	answer := service.await(context.Background(), 99, 0)
	require.True(t, answer.Full)
	require.EqualValues(t, 1, answer.Version)
}
