package peer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOddNameRefusesNoMessage guards against a host that cannot read any directory, or heartbeat, since an earlier version
// passes on one name that is not UTF-8.
func TestOddNameRefusesNoMessage(t *testing.T) {
	server := NewServer()
	Handle(server, MethodChanges, func(context.Context, *ChangesRequest) (*ChangesResponse, error) {
		return &ChangesResponse{Known: true, Workers: []WorkerInfo{{ID: "i-1"}, {ID: "i-\xff"}}, Removed: []string{"\xfe"}}, nil
	})
	Handle(server, MethodHeartbeat, func(_ context.Context, heartbeat *Heartbeat) (*Heartbeat, error) { return heartbeat, nil })
	client := NewClient(nil)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	address := serve(t, server)
	changes, err := Call[ChangesRequest, ChangesResponse](t.Context(), client, address, MethodChanges, &ChangesRequest{})
	require.NoError(t, err)
	require.Len(t, changes.Workers, 2)
	answer, err := Call[Heartbeat, Heartbeat](t.Context(), client, address, MethodHeartbeat, &Heartbeat{
		Name:        "a",
		Evacuations: &Evacuations{Position: 1, Domains: []string{"north", "\xff"}},
	})
	require.NoError(t, err)
	require.Equal(t, "a", answer.Name)
}
