package common

import (
	"github.com/apex/log"
)

// partField is the log field that names the part; PrefixHandler turns it into the message's prefix.
const partField = "part"

// PrefixHandler puts the name of the part before each message, so that the lines of one part can be found.
type PrefixHandler struct {
	next log.Handler
}

// NewPrefixHandler returns a handler that passes its entries on to next.
func NewPrefixHandler(next log.Handler) *PrefixHandler {
	return &PrefixHandler{next: next}
}

// HandleLog passes on a copy of the entry whose message has the prefix.
func (h *PrefixHandler) HandleLog(entry *log.Entry) error {
	part, ok := entry.Fields[partField].(string)
	if !ok {
		return h.next.HandleLog(entry)
	}
	copied := *entry
	copied.Message = part + ": " + entry.Message
	copied.Fields = make(log.Fields, len(entry.Fields))
	for name, value := range entry.Fields {
		if name != partField {
			copied.Fields[name] = value
		}
	}
	return h.next.HandleLog(&copied)
}
