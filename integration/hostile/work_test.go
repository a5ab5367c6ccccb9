package hostile

import (
	"fmt"
	"strings"
	"time"
)

const (
	payloadBytes = 2 << 20
	// payloadWork is how long a task with a large payload runs; those that have not started by payloadDeadline expire.
	payloadWork     = 8 * time.Second
	payloadDeadline = 15 * time.Second
	// payloadPause lets a request be read before the next one is sent.
	payloadPause = 50 * time.Millisecond
	// refusedBytes is the size of a payload that no endpoint takes.
	refusedBytes = 200
	// newcomers come one after the other while all connections are being served.
	newcomers = 20
	// servedSettle is how long the members' requests get to be read before the newcomers come.
	servedSettle = 2 * time.Second
)

// taskOf returns a task with a payload.
func taskOf(payload string) string {
	return fmt.Sprintf(`{"service":"desk","kind":"test","payload":%s}`, payload)
}

// largePayload is one that the stand-ins take.
func largePayload() string {
	return fmt.Sprintf(`{"work":%q,"filler":%q}`, payloadWork, strings.Repeat("x", payloadBytes))
}

// sendWhole sends a submission to its end.
func (m *member) sendWhole(head, text string) bool {
	return m.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text))
}

// payloads sends valid requests with large payloads, whole and one after another.
func payloads(v *victim, m *member) {
	text := fmt.Sprintf(`{"service":"desk","kind":"test","deadline":%q,"payload":%s}`, payloadDeadline, largePayload())
	v.turn.Lock()
	defer v.turn.Unlock()
	m.sendWhole(v.head, text)
	time.Sleep(payloadPause)
}

// jobHead returns the head of a job for the callers' API.
func (v *victim) jobHead() string {
	return strings.Replace(v.head, "/v1/requests", "/v1/jobs", 1)
}

// patientHead returns the head of a submission of the member's own, whose caller waits for a minute.
func (v *victim) patientHead(m *member) string {
	return strings.Replace(v.head, firstJob, fmt.Sprintf("%016x", 1<<32+m.index), 1) + "Chervilusher-Deadline-Remaining: 60000\r\n"
}

// payloadsOfJobs sends the same as jobs, which are answered at once and run on.
func payloadsOfJobs(v *victim, m *member) {
	text := fmt.Sprintf(`{"deadline":%q,"tasks":[%s]}`, payloadDeadline, taskOf(largePayload()))
	v.turn.Lock()
	defer v.turn.Unlock()
	if m.sendWhole(v.jobHead(), text) {
		m.readAnswer()
	}
}

// platformJobsOfManyTasks sends jobs of as many tasks, and with as long a description, as one may have on the users' platform.
func platformJobsOfManyTasks(v *victim, m *member) {
	m.sendWhole(v.patientHead(m), v.wide)
	m.met()
}

// refusedPayloads sends valid requests whose payload every endpoint refuses.
func refusedPayloads(v *victim, m *member) {
	m.sendWhole(v.head, taskOf(fmt.Sprintf("%q", strings.Repeat("x", refusedBytes))))
	m.met()
}

// beServed sends a request that is served for as long as its task runs.
func beServed(v *victim, m *member) {
	m.sendWhole(v.patientHead(m), v.long)
	m.met()
}

// endureServed has more requests served than there may be connections, and checks that each newcomer is answered.
func (v *victim) endureServed(size int) {
	v.t.Helper()
	v.endure(size, func(v *victim, m *member) {
		beServed(v, m)
		if m.index != 0 {
			return
		}
		time.Sleep(servedSettle)
		statuses := map[int]int{}
		for range newcomers {
			status, err := v.ask(v.t.Context())
			if err != nil {
				v.t.Errorf("a newcomer got no answer: %s", err)
				return
			}
			statuses[status]++
		}
		v.t.Logf("statuses: %v", statuses)
	})
}
