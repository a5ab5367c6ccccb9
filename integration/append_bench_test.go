package integration

import (
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/logservice"
	standinlog "chervilusher.dev/standin/pkg/logservice"
)

// BenchmarkAppend measures what one append to the platform's log costs a start that waits for it.
func BenchmarkAppend(b *testing.B) {
	service, err := standinlog.New(clockwork.NewRealClock(), standinlog.Settings{Listen: "127.0.0.1:0"})
	require.NoError(b, err)
	defer service.Close()
	log := logservice.New("http://"+service.Address(), http.DefaultClient)
	for b.Loop() {
		_, err := log.Append(b.Context(), "starts", []string{"one batch"})
		require.NoError(b, err)
	}
}
