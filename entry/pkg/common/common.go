package common

import (
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"chervilusher.dev/entry/pkg/settings"
)

// Common is handed to every part on construction.
type Common struct {
	Log         log.Interface
	Settings    *settings.Settings
	Clock       clockwork.Clock
	Incarnation string // random, new for each start of the process
}

// Prefixed returns a copy whose log lines start with the part's name.
func (c *Common) Prefixed(part string) *Common {
	copied := *c
	copied.Log = c.Log.WithField(partField, part)
	return &copied
}
