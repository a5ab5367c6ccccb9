package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/soak/pkg/faults"
)

// TestEachRequestIsAnsweredBesidePlannedStops guards against hosts that take requests until the end of their grace and
// then close the connections without an answer.
func TestEachRequestIsAnsweredBesidePlannedStops(t *testing.T) {
	under := newYard(t, 3, 2, 4)
	outcomes, breaches := plannedStops(under, faults.New(under, 1, t.Logf), 1, 15*time.Second)
	t.Logf("answers: %v", outcomes)
	require.Empty(t, append(breaches, under.Ledger.Breaches()...))
	require.Greater(t, outcomes["200"], 100)
}
