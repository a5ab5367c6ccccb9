package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/load/pkg/experiment"
)

func TestCountersOfTheDaemonAlone(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "chervilusher_starts_total 7\nchervilusher_outcomes_total{verdict=\"not run\"} 2\nprocess_cpu 3\n")
	}))
	defer server.Close()
	process := &Process{Addresses: Addresses{Operator: strings.TrimPrefix(server.URL, "http://")}, client: http.DefaultClient}
	counters, err := process.Counters(t.Context())
	require.NoError(t, err)
	require.Equal(t, map[string]float64{"chervilusher_starts_total": 7, `chervilusher_outcomes_total{verdict="not run"}`: 2}, counters)
}

func TestCostOfAProcess(t *testing.T) {
	_, err := readCPU(os.Getpid())
	require.NoError(t, err)
	memory, err := readField(fmt.Sprintf("/proc/%d/status", os.Getpid()), "VmHWM:")
	require.NoError(t, err)
	require.Positive(t, memory)
	_, err = (&Process{Host: experiment.Entry{Name: "none"}}).Cost()
	require.Error(t, err)
}
