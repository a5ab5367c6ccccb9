package yard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostMovesToTheNewBuildWhenItStartsAnew guards against a soak of two builds in which one of them never runs.
func TestHostMovesToTheNewBuildWhenItStartsAnew(t *testing.T) {
	upgraded := builds{previous: "old", current: "new"}
	require.Equal(t, []string{"old", "new", "new"}, []string{upgraded.next(), upgraded.next(), upgraded.next()})
	alone := builds{current: "new"}
	require.Equal(t, "new", alone.next())
}
