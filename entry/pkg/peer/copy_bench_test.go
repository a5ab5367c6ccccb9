package peer_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/peer"
)

// BenchmarkCopyToPeer measures what a synchronous copy of a submission's identifier at another host costs, over loopback.
func BenchmarkCopyToPeer(b *testing.B) {
	server := peer.NewServer()
	peer.Handle(server, "copy", func(context.Context, *peer.HandoverEntry) (*peer.HandoverResponse, error) {
		return &peer.HandoverResponse{Kept: true}, nil
	})
	var config net.ListenConfig
	listener, err := config.Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = server.Serve(b.Context(), listener) }()
	client := peer.NewClient(nil)
	defer func() { _ = client.Close() }()
	for b.Loop() {
		entry := &peer.HandoverEntry{Account: "owner", Window: 1, Key: "a key as long as a random identifier"}
		_, err := peer.Call[peer.HandoverEntry, peer.HandoverResponse](b.Context(), client, listener.Addr().String(), "copy", entry)
		require.NoError(b, err)
	}
}
