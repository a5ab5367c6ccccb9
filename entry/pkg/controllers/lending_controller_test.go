package controllers

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/settings"
)

// wakingRunner tells an observer of each run, as the dispatch controller does.
type wakingRunner struct {
	observe func()
}

func (w *wakingRunner) Run(dispatch.Effects) {
	w.observe()
}

func TestStepWithoutWorkDoesNotWakeItself(t *testing.T) {
	c := &common.Common{
		Log:      &log.Logger{Handler: discard.New()},
		Settings: settings.Default(),
		Clock:    clockwork.NewFakeClock(),
	}
	runner := &wakingRunner{}
	lender := NewLendingController(c, blackboard.New(), nil, runner, nil, peer.NewServer())
	runner.observe = lender.Wake
	lender.step(t.Context())
	require.Empty(t, lender.wake, "the controller would never sleep")
}
