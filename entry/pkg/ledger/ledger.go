package ledger

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

// Claim tells what a submission's identifier means to this home.
type Claim int

// Meanings of an identifier.
const (
	ClaimNew       Claim = iota // never seen, and the window's record is whole: it may start
	ClaimKnown                  // seen before: Entry has its job
	ClaimMismatch               // seen before with another body
	ClaimForgotten              // the window is no longer kept: it may have run
)

// ID names one submission at its home.
type ID struct {
	Owner  string
	Window int64 // Unix seconds
	Key    string
}

// Entry is one remembered submission.
type Entry struct {
	ID     ID
	Digest uint64 // of the body
	Job    *blackboard.Job
	Bytes  int64 // of its kept answer
}

// window holds all submissions of one window; it is forgotten whole, so that a missing identifier is either new or forgotten and never both.
type window struct {
	start   int64
	entries map[ID]*Entry
	bytes   int64
}

// Ledger is the table of submissions by window; the dispatch lock guards it.
type Ledger struct {
	length   time.Duration
	keep     time.Duration
	maxBytes int64
	windows  map[int64]*window
	floor    int64 // windows that start before it are forgotten
	bytes    int64
}

// New returns a ledger for a process that starts now; windows before it belong to earlier incarnations.
func New(length, keep time.Duration, maxBytes int64) *Ledger {
	return &Ledger{length: length, keep: keep, maxBytes: maxBytes, windows: map[int64]*window{}}
}

// Claim looks the identifier up and remembers it when it is new; the job is made by the caller only then.
func (l *Ledger) Claim(id ID, digest uint64, make func() *blackboard.Job) (*Entry, Claim) {
	if id.Window < l.floor {
		return nil, ClaimForgotten
	}
	held := l.window(id.Window)
	if entry, ok := held.entries[id]; ok {
		if entry.Digest != digest {
			return entry, ClaimMismatch
		}
		return entry, ClaimKnown
	}
	entry := &Entry{ID: id, Digest: digest, Job: make()}
	held.entries[id] = entry
	return entry, ClaimNew
}

// Drop takes back a new entry whose submission was refused, so that the caller may try again under the same key.
func (l *Ledger) Drop(entry *Entry) {
	if held, ok := l.windows[entry.ID.Window]; ok {
		delete(held.entries, entry.ID)
	}
}

// Find returns the entry of an identifier, and whether its window is still kept.
func (l *Ledger) Find(id ID) (entry *Entry, kept bool) {
	if id.Window < l.floor {
		return nil, false
	}
	held, ok := l.windows[id.Window]
	if !ok {
		return nil, true
	}
	return held.entries[id], true
}

// Keep counts the bytes of a decided job's answer and forgets whole windows while the bound is passed.
func (l *Ledger) Keep(entry *Entry) {
	held, ok := l.windows[entry.ID.Window]
	if !ok {
		return
	}
	entry.Bytes = answerBytes(entry.Job.Answer)
	held.bytes += entry.Bytes
	l.bytes += entry.Bytes
	for l.bytes > l.maxBytes && len(l.windows) > 1 {
		l.forget(l.oldest())
	}
}

// Expire forgets the windows that ended longer ago than they are kept.
func (l *Ledger) Expire(now time.Time) {
	for start := range l.windows {
		if now.Sub(time.Unix(start, 0)) > l.length+l.keep {
			l.forget(start)
		}
	}
	floor := now.Add(-l.length - l.keep).Unix()
	if floor > l.floor {
		l.floor = floor
	}
}

// Size returns how many submissions are remembered and the bytes of their answers.
func (l *Ledger) Size() (entries int, bytes int64) {
	for _, held := range l.windows {
		entries += len(held.entries)
	}
	return entries, l.bytes
}

func (l *Ledger) window(start int64) *window {
	held, ok := l.windows[start]
	if !ok {
		held = &window{start: start, entries: map[ID]*Entry{}}
		l.windows[start] = held
	}
	return held
}

func (l *Ledger) oldest() int64 {
	var oldest int64
	first := true
	for start := range l.windows {
		if first || start < oldest {
			oldest = start
			first = false
		}
	}
	return oldest
}

func (l *Ledger) forget(start int64) {
	held := l.windows[start]
	l.bytes -= held.bytes
	invariant.Check(l.bytes >= 0, "ledger_bytes", "the ledger counts %d bytes", l.bytes)
	delete(l.windows, start)
	if start >= l.floor {
		l.floor = start + 1
	}
}

func answerBytes(answer *api.Answer) int64 {
	const fixedBytes = 512
	bytes := int64(fixedBytes)
	for _, result := range answer.Results {
		bytes += int64(len(result.Value))
	}
	return bytes
}
