package hostile

import (
	"bytes"

	"storj.io/drpc/drpcwire"
)

const (
	// messageBytes is a little less than the longest message between hosts.
	messageBytes = 60 << 20
	frameBytes   = 32 << 10
)

// messagesShortOfTheirEnd begins calls to another host with a message that never ends.
func messagesShortOfTheirEnd(_ *victim, m *member) {
	invoke := drpcwire.Frame{Kind: drpcwire.KindInvoke, ID: drpcwire.ID{Stream: 1, Message: 1}, Data: []byte("submit"), Done: true}
	part := drpcwire.Frame{Kind: drpcwire.KindMessage, ID: drpcwire.ID{Stream: 1, Message: 2}, Data: bytes.Repeat([]byte{' '}, frameBytes)}
	sent := m.send(string(drpcwire.AppendFrame(nil, invoke)))
	text := string(drpcwire.AppendFrame(nil, part))
	for count := 0; sent && count < messageBytes/frameBytes; count++ {
		sent = m.send(text)
	}
	m.met()
}
