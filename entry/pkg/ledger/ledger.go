package ledger

import (
	"container/list"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

const (
	// windowShare is how many full windows the bound on entries has room for.
	windowShare = 4
	// anyDigest marks an identifier whose body has not arrived.
	anyDigest = 0
	// futureSlack is how far ahead of the steady clock a window's start may lie after several were closed early.
	futureSlack = time.Second
)

// Claim tells what a submission's identifier means to this home.
type Claim int

// Meanings of an identifier.
const (
	ClaimNew       Claim = iota // never seen, and the window's record is whole: it may start
	ClaimKnown                  // seen before: Entry has its job or its answer
	ClaimMismatch               // seen before with another body
	ClaimForgotten              // the window is no longer kept, or was never opened here: it may have run
	ClaimClosed                 // the window takes no more identifiers: it has not run and never will
)

// ID names one submission at its home.
type ID struct {
	Account string
	Window  int64 // Unix milliseconds
	Key     string
}

// Entry is one remembered submission; without Job and Answer it has ended and its answer is no longer kept.
type Entry struct {
	ID      ID
	Digest  uint64          // of the body
	Job     *blackboard.Job // until it is decided
	Answer  *api.Answer     // once it is decided
	Bytes   int64           // of the kept answer
	Decided time.Time

	kept *list.Element // in the list of answers
}

// window holds all submissions of one window; it is forgotten whole, so that a missing identifier is either new or forgotten and never both.
type window struct {
	entries map[ID]*Entry
	closed  bool
}

// Limits bounds what a ledger remembers.
type Limits struct {
	Window  time.Duration // length of one window
	Keep    time.Duration // how long a window is kept after its end
	Entries int           // most submissions
	Bytes   int64         // most bytes of kept answers
}

// Ledger is the table of submissions by window; the dispatch lock guards it.
type Ledger struct {
	limits  Limits
	started time.Time
	windows map[int64]*window
	late    map[ID]*Entry // of forgotten windows, whose jobs still ran then
	floor   int64         // windows that start before it are forgotten
	answers *list.List    // entries with kept answers, the oldest first
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

// Claim looks the identifier up and remembers it when it is new; make gives the job only then.
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

// Bury remembers a new identifier with its final answer, so that a late submission under it never starts.
func (l *Ledger) Bury(id ID, now time.Time, answer *api.Answer) (*Entry, Claim) {
	entry, claim := l.Claim(id, anyDigest, now, func() *blackboard.Job { return nil })
	if claim == ClaimNew {
		l.Keep(entry, answer, now)
	}
	return entry, claim
}

// Closed reports whether the window takes no more identifiers.
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

// Keep stores the answer of a decided job, and drops the oldest answers while the bound on bytes is passed.
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

// Expire forgets the windows that ended longer ago than they are kept, whatever the wall clock says.
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

// Size returns how many submissions are remembered and the bytes of their answers.
func (l *Ledger) Size() (entries int, bytes int64) {
	return l.entries, l.bytes
}

// Open returns how many submissions are not decided.
func (l *Ledger) Open() int {
	return l.open
}

// Record is the ledger's knowledge for a peer that takes over: identifiers of windows from Floor on that are not listed were never taken.
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

// steady returns the process's start plus the time since then, which a step of the wall clock does not change.
func (l *Ledger) steady(now time.Time) time.Time {
	return l.started.Add(now.Sub(l.started))
}

// makeRoom forgets ended submissions of older windows while the bound on entries is reached, and reports whether one more fits.
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

// dropLate forgets the ended submissions of forgotten windows that the filter names.
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

// forget drops a window but for its running jobs, which stay known until they have ended and were kept.
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

// AnswerBytes returns how many bytes a kept answer counts for.
func AnswerBytes(answer *api.Answer) int64 {
	const fixedBytes = 512
	bytes := int64(fixedBytes)
	for _, result := range answer.Results {
		bytes += int64(len(result.Value))
	}
	return bytes
}
