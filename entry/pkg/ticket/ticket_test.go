package ticket_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/ticket"
)

const key = "a key of at least 16 characters"

func newIssuer(clock clockwork.Clock) *ticket.Issuer {
	return ticket.New(key, "host", "domain", "incarnation", time.Minute, clock)
}

func windowOf(t *testing.T, issuer *ticket.Issuer) int64 {
	t.Helper()
	token, left, err := issuer.Issue("account")
	require.NoError(t, err)
	require.LessOrEqual(t, left, time.Minute)
	claims, err := issuer.Verify(token)
	require.NoError(t, err)
	require.Equal(t, "account", claims.Account)
	require.True(t, issuer.Own(claims))
	return claims.Window
}

func TestWindowsOnlyMoveForward(t *testing.T) {
	clock := clockwork.NewFakeClock()
	issuer := newIssuer(clock)
	first := windowOf(t, issuer)
	require.Equal(t, clock.Now().UnixMilli(), first)
	clock.Advance(59 * time.Second)
	require.Equal(t, first, windowOf(t, issuer))
	clock.Advance(time.Second)
	second := windowOf(t, issuer)
	require.Greater(t, second, first)
	clock.Advance(-time.Hour)
	require.Equal(t, second, windowOf(t, issuer))
	issuer.Close(second)
	require.Greater(t, windowOf(t, issuer), second)
}

func TestOnlyTheCurrentWindowIsClosed(t *testing.T) {
	issuer := newIssuer(clockwork.NewFakeClock())
	first := windowOf(t, issuer)
	issuer.Close(first)
	second := windowOf(t, issuer)
	issuer.Close(first)
	require.Equal(t, second, windowOf(t, issuer))
}

func TestForgedTicketsAreRefused(t *testing.T) {
	forged, _, err := ticket.New("another key of 16 or more", "host", "domain", "incarnation", time.Minute, clockwork.NewFakeClock()).Issue("account")
	require.NoError(t, err)
	_, err = newIssuer(clockwork.NewFakeClock()).Verify(forged)
	require.Error(t, err)
}
