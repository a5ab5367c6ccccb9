package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// closings is how often each member comes back with a body, and givenUp with a job.
	closings = 20
	givenUp  = 100
	// echoes is how often each member asks for an answer of echoBytes, which is within what a back end may return.
	echoes    = 80
	echoBytes = 900 << 10
	// givenUpAfter is how long a member waits for the answer to a job that it gives up.
	givenUpAfter = 2 * time.Millisecond
)

// comeBack acts on a new connection that many times, and closes it.
func (v *victim) comeBack(m *member, times int, act func(again *member)) {
	for count := range times {
		conn, err := (&net.Dialer{Timeout: blockedLongest}).DialContext(context.Background(), "tcp", v.caller)
		if err != nil {
			continue
		}
		act(&member{index: m.index + count<<16, conn: conn})
		_ = conn.Close()
	}
}

// largeAnswers sends valid requests with large answers, which it reads.
func largeAnswers(v *victim, m *member) {
	text := taskOf(fmt.Sprintf(`{"echo":%q}`, strings.Repeat("x", echoBytes)))
	v.comeBack(m, echoes, func(again *member) {
		if again.sendWhole(v.head+"Connection: close\r\n", text) {
			_ = again.conn.SetReadDeadline(time.Now().Add(blockedLongest))
			_, _ = io.Copy(io.Discard, again.conn)
		}
	})
}

// jobsGivenUp sends jobs of as many tasks as one may have, and closes each connection before the answer.
func jobsGivenUp(v *victim, m *member) {
	v.comeBack(m, givenUp, func(again *member) {
		again.sendWhole(v.patientHead(again), v.wide)
		time.Sleep(givenUpAfter)
	})
}

// closedShortOfTheirEnd opens connections, sends bodies short of their end, and closes them again.
func closedShortOfTheirEnd(v *victim, m *member) {
	text := body(v.bodyBytes)
	head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", v.head, len(text))
	v.comeBack(m, closings, func(again *member) {
		_ = again.send(head) && again.send(text[:len(text)-1])
	})
}
