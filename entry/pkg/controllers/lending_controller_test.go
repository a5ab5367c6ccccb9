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

// notifyingRunner notifies an observer of each run, as the dispatch controller does.
type notifyingRunner struct {
	observe func()
}

func (w *notifyingRunner) Run(dispatch.Effects) {
	w.observe()
}

func TestStepWithoutEffectsDoesNotWakeTheController(t *testing.T) {
	c := &common.Common{
		Log:      &log.Logger{Handler: discard.New()},
		Settings: settings.Default(),
		Clock:    clockwork.NewFakeClock(),
	}
	runner := &notifyingRunner{}
	lender := NewLendingController(c, blackboard.New(), nil, runner, nil, peer.NewServer())
	runner.observe = lender.Wake
	lender.step(t.Context())
	require.Empty(t, lender.wake, "the controller would wake itself again and again")
}
