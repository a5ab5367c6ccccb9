package hostile

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// oneInFinishes is the part of a crowd that sends its requests to the end, where most stop short of it.
	oneInFinishes = 8
	// blockedLongest is how long a member tries to send to a process that does not read.
	blockedLongest = 5 * time.Second
	headBytes      = 900 << 10
	endlessBytes   = 2 << 20
)

// member is one connection of a crowd. Its writes end in silence once the process has closed it.
type member struct {
	index int
	conn  net.Conn
	met   func() // waits until each member has come here
}

func (m *member) send(text string) bool {
	_ = m.conn.SetWriteDeadline(time.Now().Add(blockedLongest))
	_, err := m.conn.Write([]byte(text))
	return err == nil
}

// sendPieces sends a text in pieces, with a pause between them.
func (m *member) sendPieces(text string, size int, pause time.Duration) bool {
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		if !m.send(piece) {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// readAnswer waits until the process answers or closes the connection, or a while has passed.
func (m *member) readAnswer() {
	_ = m.conn.SetReadDeadline(time.Now().Add(blockedLongest))
	_, _ = m.conn.Read(make([]byte, 1))
}

// pattern is what each member of a crowd does; members stay open when it returns.
type pattern func(v *victim, m *member)

// endure lets a crowd of a size act at the callers' address and checks that the process lives within its bounds and serves an
// ordinary caller.
func (v *victim) endure(size int, act pattern) {
	v.t.Helper()
	v.endureAt(v.caller, size, act)
}

// endureAt lets a crowd act at one of the process's addresses.
func (v *victim) endureAt(address string, size int, act pattern) {
	v.t.Helper()
	finish := v.watch(address)
	var acting, meeting sync.WaitGroup
	meeting.Add(size)
	for index := range size {
		acting.Go(func() {
			conn, err := (&net.Dialer{Timeout: blockedLongest}).DialContext(context.Background(), "tcp", address)
			met := sync.OnceFunc(meeting.Done)
			defer met()
			if err != nil {
				return
			}
			v.t.Cleanup(func() { _ = conn.Close() })
			act(v, &member{index: index, conn: conn, met: func() { met(); meeting.Wait() }})
		})
	}
	acting.Wait()
	v.requireAnswer("beside the crowd")
	most := finish()
	v.t.Logf("peak: resident %.1f MiB, with unread bytes %.1f MiB, descriptors %d", mebibytes(most.resident), mebibytes(most.withUnread), most.descriptors)
	v.requireAlive()
	require.LessOrEqual(v.t, mebibytes(most.resident), mebibytes(v.memory), "MiB of resident memory")
	require.LessOrEqual(v.t, mebibytes(most.withUnread), mebibytes(v.memory), "MiB of memory with the bytes that were not read")
	require.LessOrEqual(v.t, most.descriptors, v.descriptors, "open descriptors")
}

func mebibytes(count int64) float64 { return float64(count) / (1 << 20) }

// body returns a submission's body of that many bytes: white space, and at its end a value that is no submission, since a crowd
// is not to take the room of ordinary work.
func body(size int) string {
	return strings.Repeat(" ", size-2) + "{}"
}

// wholeBodies sends bodies of the largest size at once and whole.
func wholeBodies(v *victim, m *member) {
	text := body(v.bodyBytes)
	sent := m.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", v.head, len(text))) && m.send(text[:len(text)-1])
	m.met()
	if sent && m.send(text[len(text)-1:]) {
		m.readAnswer()
	}
}

// pieceByPiece sends bodies in small pieces; most stop one byte short of the end.
func pieceByPiece(v *victim, m *member) {
	text := body(v.bodyBytes)
	sent := m.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", v.head, len(text))) && m.sendPieces(text[:len(text)-1], len(text)/64, time.Millisecond)
	m.met()
	if sent && m.index%oneInFinishes == 0 && m.send(text[len(text)-1:]) {
		m.readAnswer()
	}
}

// chunks returns a chunked body of that many bytes in chunks of one size, without the last chunk.
func chunks(size, each int) string {
	one := fmt.Sprintf("%x\r\n%s\r\n", each, strings.Repeat(" ", each))
	return strings.Repeat(one, size/each)
}

// chunked sends chunked bodies; most stop short of the last chunk.
func chunked(v *victim, m *member, size, each int) {
	sent := m.send(v.head+"Transfer-Encoding: chunked\r\n\r\n") && m.sendPieces(chunks(size, each), 64<<10, 0)
	m.met()
	if sent && m.index%oneInFinishes == 0 && m.send("2\r\n{}\r\n0\r\n\r\n") {
		m.readAnswer()
	}
}

func largeChunks(v *victim, m *member) { chunked(v, m, v.bodyBytes-(32<<10), 32<<10) }

func smallChunks(v *victim, m *member) { chunked(v, m, min(v.bodyBytes, 2<<20)-(32<<10), 8) }

// fields returns header fields of about that many bytes.
func fields(size int) string {
	one := "X-Filler: " + strings.Repeat("x", 500) + "\r\n"
	return strings.Repeat(one, size/len(one))
}

// longHeads sends heads that are far over the limit, all of them before any one ends.
func longHeads(v *victim, m *member) {
	sent := m.send(v.head) && m.sendPieces(fields(headBytes), 16<<10, 0)
	m.met()
	if sent && m.send("Content-Length: 0\r\n\r\n") {
		m.readAnswer()
	}
}

// endlessHeads sends fields until the process closes the connection or a bound is reached.
func endlessHeads(v *victim, m *member) {
	if m.send(v.head) {
		m.sendPieces(fields(endlessBytes), 16<<10, 5*time.Millisecond)
	}
}

// emptyLines sends empty lines where a request should begin, half of them after a whole request.
func emptyLines(v *victim, m *member) {
	if m.index%2 == 1 && !m.send(v.head+"Content-Length: 2\r\n\r\n{}") {
		return
	}
	m.sendPieces(strings.Repeat("\r\n", endlessBytes/2), 16<<10, 0)
}

// silence opens connections and sends a single byte.
func silence(_ *victim, m *member) {
	m.send(http.MethodPost[:1])
	m.met()
}
