package cell

import (
	"slices"
	"time"
)

// SentStart tells another host of a start before it is sent.
type SentStart struct {
	Task   string `json:"t"`
	Worker string `json:"w"`
	Number int    `json:"n"`
	Sent   int64  `json:"s"` // nanoseconds on the clock of the keeper that sends it
}

// Sender identifies the process of a keeper.
type Sender struct {
	Host        string
	Incarnation string
}

const (
	// maxWitnessed bounds the starts of one sender that a host keeps; the keeper of 48 workers sends fewer in the time between
	// two of its heartbeats.
	maxWitnessed = 4096
	// answerNews is the time for which the starts without an answer have to fit into a heartbeat; a host that hears none for
	// longer takes the sender for lost.
	answerNews = time.Second
)

// SentStarts describes starts for the hosts that are told of them.
func SentStarts(starts []Start) []SentStart {
	sent := make([]SentStart, 0, len(starts))
	for i := range starts {
		key := keyOf(starts[i].Run)
		sent = append(sent, SentStart{Task: key.task, Worker: key.worker, Number: key.number, Sent: key.sent})
	}
	return sent
}

// witnessedStarts are the starts that other keepers have told of and that may be without an answer, by sender.
type witnessedStarts map[Sender][]witnessedStart

type witnessedStart struct {
	unsettledKey
	until time.Time // it may be carried out until then
}

// trim drops the starts that cannot be carried out any more.
func (w witnessedStarts) trim(now time.Time) {
	for sender, starts := range w {
		w.keep(sender, slices.DeleteFunc(starts, func(start witnessedStart) bool { return !now.Before(start.until) }))
	}
}

func (w witnessedStarts) keep(sender Sender, starts []witnessedStart) {
	if len(starts) == 0 {
		delete(w, sender)
		return
	}
	w[sender] = starts
}

// WitnessStarts records starts that another keeper sends, in case that it is lost before it has told which have no answer.
func (c *Cell) WitnessStarts(sender Sender, starts []SentStart, now time.Time) {
	witnessed := c.witnessed[sender]
	for i := range starts {
		start := &starts[i]
		if !hasUsableNames(start.Task, start.Worker) {
			continue
		}
		key := unsettledKey{task: start.Task, worker: start.Worker, number: start.Number, sent: start.Sent}
		witnessed = append(witnessed, witnessedStart{unsettledKey: key, until: now.Add(c.limits.CallDelay)})
	}
	if excess := len(witnessed) - maxWitnessed; excess > 0 {
		witnessed = slices.Delete(witnessed, 0, excess)
	}
	c.witnessed.keep(sender, witnessed)
}

// HandleAnswersKnown drops the witnessed starts up to the given time on the sender's clock: it has told which of these have no
// answer.
func (c *Cell) HandleAnswersKnown(sender Sender, until int64) {
	if starts, ok := c.witnessed[sender]; ok {
		c.witnessed.keep(sender, slices.DeleteFunc(starts, func(start witnessedStart) bool { return start.sent <= until }))
	}
}

// HandleKeeperLoss handles that a host is lost, except its process of the given incarnation unless that is empty: the witnessed
// starts that it has sent may be without an answer. It returns their number.
func (c *Cell) HandleKeeperLoss(host, exceptIncarnation string, now time.Time) (Effects, int) {
	var effects Effects
	blocked := map[string]bool{}
	unsettled := 0
	for sender, starts := range c.witnessed {
		if sender.Host != host || (exceptIncarnation != "" && sender.Incarnation == exceptIncarnation) {
			continue
		}
		delete(c.witnessed, sender)
		for _, start := range starts {
			if c.unsettled.byKey[start.unsettledKey] != nil || !now.Before(start.until) || len(c.unsettled.byKey) >= maxUnsettled {
				continue
			}
			unsettled++
			added := &unsettledStart{unsettledKey: start.unsettledKey, until: start.until}
			c.unsettled.add(added)
			if worker := c.workers[start.worker]; worker != nil && worker.gone {
				c.unsettled.setBlocks(added, true)
				blocked[start.task] = true
			}
			c.unsettled.announce(added, now)
		}
	}
	c.abandonBlocked(blocked, nil, now, &effects)
	c.assign(now, &effects)
	return effects, unsettled
}

// AnswersKnownUntil returns the time, in nanoseconds on this host's clock, up to which other hosts know from the recent late
// starts which of the starts sent here have no answer.
func (c *Cell) AnswersKnownUntil() int64 {
	return c.unsettled.answersKnownUntil
}

// advanceAnswersKnown follows a check of all starts for their answers.
func (u *unsettledStarts) advanceAnswersKnown(now time.Time) {
	if u.changesSince(now.Add(-answerNews)) <= maxCrashNews {
		u.answersKnownUntil = now.Add(-answerDelay).UnixNano() - 1
	}
}

// changesSince returns how many changes there were since the given time.
func (u *unsettledStarts) changesSince(since time.Time) int {
	count := 0
	for _, start := range slices.Backward(u.news) {
		if start.changedAt.Before(since) {
			break
		}
		count++
	}
	return count
}
