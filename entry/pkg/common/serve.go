package common

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ServeHTTP serves on the listener until the server is shut down.
func ServeHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// WaitUntil looks at the condition at intervals, and reports false when the context ends first.
func WaitUntil(ctx context.Context, interval time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
