package yard

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostsPortsStayFreeForThemWhileTheyAreDown guards against a host that cannot start again since another process of
// the machine has taken its port on the usual loopback address.
func TestHostsPortsStayFreeForThemWhileTheyAreDown(t *testing.T) {
	yard := &Yard{loopback: drawLoopback(), given: map[string]bool{}}
	addresses, err := yard.freeAddresses(4)
	require.NoError(t, err)
	var config net.ListenConfig
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		if other, err := config.Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", port)); err == nil {
			defer func() { _ = other.Close() }()
		}
		listener, err := config.Listen(context.Background(), "tcp", address)
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
	}
}
