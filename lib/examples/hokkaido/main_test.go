package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTheOfficePassesTheChecks(t *testing.T) {
	document, err := office("a", "b").Build()
	require.NoError(t, err)
	require.NotNil(t, document.Service("desk"))
	require.Equal(t, "asahikawa", document.Place("north").Domain)
}
