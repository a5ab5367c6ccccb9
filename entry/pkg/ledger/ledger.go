package ledger

import (
	"container/list"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

const (
	// windowShare is the number of full windows that fit the bound on entries.
	windowShare = 4
	// anyDigest marks an identifier whose submission body has not been received.
	anyDigest = 0
	// futureSlack is how far a window's start may lie ahead of the steady clock, since windows may close early.
	futureSlack = time.Second
)

// Claim is the state of a submission's identifier at this home host.
type Claim int

// States of an identifier.
const (
	ClaimNew       Claim = iota // never seen, and the window's record is complete: the job may start
	ClaimKnown                  // seen before: Entry has its job or its answer
	ClaimMismatch               // seen before with another body
	ClaimForgotten              // the window is no longer kept, or was never opened here: the job may have run
	ClaimClosed                 // the window accepts no more identifiers: the job has not run and never will
)

// ID identifies one submission at its home host.
type ID struct {
	Account string
	Window  int64 // Unix milliseconds
	Key     string
}

// Entry records one submission; without Job and Answer it has ended and its answer is no longer kept.
type Entry struct {
	ID      ID
	Digest  uint64          // of the body
	Job     *blackboard.Job // until it is decided
	Answer  *api.Answer     // once it is decided
	Bytes   int64           // of the kept answer
	Decided time.Time

	kept *list.Element // in the list of answers
}

// window holds all submissions of one time window. It is dropped as a whole,
// so that a missing identifier is either new or forgotten and never both.
type window struct {
	entries map[ID]*Entry
	closed  bool
}

// Limits bounds what a ledger stores.
type Limits struct {
	Window  time.Duration // length of one window
	Keep    time.Duration // time a window is kept after its end
	Entries int           // maximum number of submissions
	Bytes   int64         // maximum size of kept answers
}

// Ledger is the table of submissions by window, guarded by the dispatch lock.
type Ledger struct {
	limits  Limits
	started time.Time
	windows map[int64]*window
	late    map[ID]*Entry // of dropped windows whose jobs were still running
	floor   int64         // windows that start before it are dropped; Unix milliseconds
	answers *list.List    // entries with kept answers, oldest first
	entries int
	open    int // entries whose jobs are not decided
	bytes   int64
}

// New returns a ledger for a process that starts now; windows before it belong to earlier incarnations.
func New(limits Limits, now time.Time) *Ledger {
	return &Ledger{
		limits:  limits,
		started: now,
		windows: map[int64]*window{},
		late:    map[ID]*Entry{},
		floor:   now.UnixMilli(),
		answers: list.New(),
	}
}

// Claim looks up the identifier and records it if new; only then make is called for the job.
func (l *Ledger) Claim(id ID, digest uint64, now time.Time, make func() *blackboard.Job) (*Entry, Claim) {
	entry, kept := l.Find(id, now)
	if entry != nil {
		if entry.Digest != digest && entry.Digest != anyDigest {
			return entry, ClaimMismatch
		}
		return entry, ClaimKnown
	}
	if !kept {
		return nil, ClaimForgotten
	}
	held := l.window(id.Window)
	if held.closed || !l.makeRoom(id.Window) {
		held.closed = true
		return nil, ClaimClosed
	}
	entry = &Entry{ID: id, Digest: digest, Job: make()}
	held.entries[id] = entry
	l.entries++
	l.open++
	held.closed = len(held.entries) >= max(1, l.limits.Entries/windowShare)
	return entry, ClaimNew
}

// Bury records a tombstone: a new identifier with its final answer, so that a late submission never starts.
func (l *Ledger) Bury(id ID, now time.Time, answer *api.Answer) (*Entry, Claim) {
	entry, claim := l.Claim(id, anyDigest, now, func() *blackboard.Job { return nil })
	if claim == ClaimNew {
		l.Keep(entry, answer, now)
	}
	return entry, claim
}

// Closed reports whether the window accepts no more identifiers.
func (l *Ledger) Closed(start int64) bool {
	held, ok := l.windows[start]
	return ok && held.closed
}

// Find returns the entry of an identifier, and whether its window is still kept.
func (l *Ledger) Find(id ID, now time.Time) (entry *Entry, kept bool) {
	if late, ok := l.late[id]; ok {
		return late, true
	}
	if id.Window < l.floor || id.Window > l.steady(now).Add(futureSlack).UnixMilli() {
		return nil, false
	}
	held, ok := l.windows[id.Window]
	if !ok {
		return nil, true
	}
	return held.entries[id], true
}

// Keep stores the answer of a decided job, and drops the oldest answers while the bound on bytes is exceeded.
func (l *Ledger) Keep(entry *Entry, answer *api.Answer, now time.Time) {
	invariant.Check(entry.Answer == nil, "one_answer", "submission %s is answered twice", entry.ID.Key)
	entry.Job = nil
	entry.Answer = answer
	entry.Decided = now
	entry.Bytes = AnswerBytes(answer)
	l.bytes += entry.Bytes
	l.open--
	entry.kept = l.answers.PushBack(entry)
	for l.bytes > l.limits.Bytes && l.answers.Len() > 0 {
		l.dropAnswer(l.answers.Front().Value.(*Entry))
	}
}

// Expire drops the windows whose retention time is over by the steady clock, not the wall clock.
func (l *Ledger) Expire(now time.Time) {
	floor := l.steady(now).Add(-l.limits.Window - l.limits.Keep).UnixMilli()
	for start := range l.windows {
		if start < floor {
			l.forget(start)
		}
	}
	l.floor = max(l.floor, floor)
	l.dropLate(func(entry *Entry) bool { return now.Sub(entry.Decided) > l.limits.Keep })
}

// Size returns the number of recorded submissions and the bytes of their answers.
func (l *Ledger) Size() (entries int, bytes int64) {
	return l.entries, l.bytes
}

// Open returns the number of undecided submissions.
func (l *Ledger) Open() int {
	return l.open
}

// Record is the ledger's state for a peer that takes over.
// Identifiers that are not listed, of windows from Floor on, were never accepted.
type Record struct {
	Floor   int64
	Entries []*Entry
}

// Export returns the decided submissions.
func (l *Ledger) Export() Record {
	record := Record{Floor: l.floor}
	for _, held := range l.windows {
		for _, entry := range held.entries {
			record.Entries = append(record.Entries, entry)
		}
	}
	for _, entry := range l.late {
		record.Entries = append(record.Entries, entry)
	}
	return record
}

// steady returns the process's start plus the monotonic time since then, so that a wall clock step has no effect.
func (l *Ledger) steady(now time.Time) time.Time {
	return l.started.Add(now.Sub(l.started))
}

// makeRoom drops ended submissions of older windows while the bound on entries is reached,
// and reports whether one more entry fits.
func (l *Ledger) makeRoom(start int64) bool {
	for l.entries >= l.limits.Entries {
		oldest, ok := l.oldest()
		if !ok || oldest >= start {
			break
		}
		l.forget(oldest)
	}
	if l.entries >= l.limits.Entries {
		l.dropLate(func(*Entry) bool { return true })
	}
	return l.entries < l.limits.Entries
}

// dropLate drops the ended submissions of dropped windows that match the filter.
func (l *Ledger) dropLate(drop func(entry *Entry) bool) {
	for id, entry := range l.late {
		if entry.Job == nil && drop(entry) {
			l.dropAnswer(entry)
			delete(l.late, id)
			l.entries--
		}
	}
}

func (l *Ledger) window(start int64) *window {
	held, ok := l.windows[start]
	if !ok {
		held = &window{entries: map[ID]*Entry{}}
		l.windows[start] = held
	}
	return held
}

func (l *Ledger) oldest() (oldest int64, found bool) {
	for start := range l.windows {
		if !found || start < oldest {
			oldest = start
			found = true
		}
	}
	return oldest, found
}

// forget drops a window except for its running jobs, which stay recorded until after they have ended.
func (l *Ledger) forget(start int64) {
	for id, entry := range l.windows[start].entries {
		if entry.Job != nil {
			l.late[id] = entry
			continue
		}
		l.dropAnswer(entry)
		l.entries--
	}
	delete(l.windows, start)
	l.floor = max(l.floor, start+1)
}

func (l *Ledger) dropAnswer(entry *Entry) {
	if entry.kept == nil {
		return
	}
	l.answers.Remove(entry.kept)
	entry.kept = nil
	l.bytes -= entry.Bytes
	invariant.Check(l.bytes >= 0, "ledger_bytes", "the ledger counts %d bytes", l.bytes)
	entry.Bytes = 0
	entry.Answer = nil
}

// AnswerBytes returns the number of bytes that a kept answer counts as.
func AnswerBytes(answer *api.Answer) int64 {
	const fixedBytes = 512
	bytes := int64(fixedBytes)
	for _, result := range answer.Results {
		bytes += int64(len(result.Value))
	}
	return bytes
}
