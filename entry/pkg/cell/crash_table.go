package cell

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashEntries bounds the table; the workers of a cell that all crash with sixteen tasks fill a fifth of it.
	maxCrashEntries = 4096
	// crashMemory is how long a count is kept; the platform asks for the state of an ended job for as long.
	crashMemory = 2 * time.Minute
	// crashNews is how long other hosts are told of a changed count: over twenty heartbeats, of which most may be lost.
	crashNews = 2 * time.Second
	// maxCrashNews bounds the counts in one heartbeat, at about 30 bytes each.
	maxCrashNews = 128
	// maxTaskName bounds the names that are taken from other hosts; the platform's have 25 characters.
	maxTaskName = 128
)

// CrashCount holds the counts of one task.
type CrashCount struct {
	Task string `json:"t"`
	Crashes
}

// crashTable counts crashes by task, since callers resubmit a job under the same task names to any host. Hosts exchange
// it; the larger count of each kind is in force.
type crashTable struct {
	entries map[string]crashEntry
	news    []crashChange // of the last crashNews, the oldest first
}

type crashEntry struct {
	crashes   Crashes
	changedAt time.Time
}

type crashChange struct {
	task string
	at   time.Time
}

func newCrashTable() crashTable {
	return crashTable{entries: map[string]crashEntry{}}
}

// count returns the counts of the task.
func (t *crashTable) count(task string, now time.Time) Crashes {
	entry, ok := t.entries[task]
	if !ok || entry.expired(now) {
		return Crashes{}
	}
	return entry.crashes
}

// raise sets the counts of a task that are larger than before, and reports whether any is.
func (t *crashTable) raise(task string, crashes Crashes, now time.Time) bool {
	before := t.count(task, now)
	crashes = crashes.atLeast(before)
	if crashes == before {
		return false
	}
	if _, known := t.entries[task]; !known && len(t.entries) >= maxCrashEntries {
		t.makeRoom(now)
	}
	t.entries[task] = crashEntry{crashes: crashes, changedAt: now}
	t.trimNews(now)
	t.news = append(t.news, crashChange{task: task, at: now})
	return true
}

// makeRoom drops the expired entries or, if there are none, the oldest of those with the fewest crashes.
func (t *crashTable) makeRoom(now time.Time) {
	var least string
	for task, entry := range t.entries {
		if entry.expired(now) {
			delete(t.entries, task)
			continue
		}
		if other, ok := t.entries[least]; !ok || cmp.Or(cmp.Compare(entry.crashes.All, other.crashes.All), entry.changedAt.Compare(other.changedAt)) < 0 {
			least = task
		}
	}
	if len(t.entries) >= maxCrashEntries {
		delete(t.entries, least)
	}
}

func (e *crashEntry) expired(now time.Time) bool {
	return now.Sub(e.changedAt) > crashMemory
}

func (t *crashTable) trimNews(now time.Time) {
	old := 0
	for old < len(t.news) && (now.Sub(t.news[old].at) > crashNews || len(t.news)-old >= maxCrashEntries) {
		old++
	}
	t.news = slices.Delete(t.news, 0, old)
}

// recent returns the counts that have changed lately, the latest first.
func (t *crashTable) recent(now time.Time) []CrashCount {
	t.trimNews(now)
	var counts []CrashCount
	for _, change := range slices.Backward(t.news) {
		entry, ok := t.entries[change.task]
		if !ok || !entry.changedAt.Equal(change.at) {
			continue // it has changed again since, or was dropped
		}
		if counts = append(counts, CrashCount{Task: change.task, Crashes: entry.crashes}); len(counts) == maxCrashNews {
			break
		}
	}
	return counts
}

// known returns the counts that have changed last.
func (t *crashTable) known(now time.Time) []CrashCount {
	var tasks []string
	for task, entry := range t.entries {
		if !entry.expired(now) {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, func(a, b string) int {
		return cmp.Or(t.entries[b].changedAt.Compare(t.entries[a].changedAt), cmp.Compare(a, b))
	})
	counts := make([]CrashCount, 0, min(len(tasks), maxCrashNews))
	for _, task := range tasks[:min(len(tasks), maxCrashNews)] {
		counts = append(counts, CrashCount{Task: task, Crashes: t.entries[task].crashes})
	}
	return counts
}

// RecentCrashes returns the counts that have changed lately, for the heartbeats to other hosts.
func (c *Cell) RecentCrashes(now time.Time) []CrashCount {
	return c.crashTable.recent(now)
}

// KnownCrashes returns all counts, as far as they fit into a heartbeat, for a host that has just started.
func (c *Cell) KnownCrashes(now time.Time) []CrashCount {
	return c.crashTable.known(now)
}

// MergeCrashes takes counts over from another host, and fails the jobs under one of whose tasks too many workers have
// crashed.
func (c *Cell) MergeCrashes(counts []CrashCount, now time.Time) Effects {
	var effects Effects
	raised := false
	for _, told := range counts {
		if told.Task != "" && len(told.Task) <= maxTaskName && c.crashTable.raise(told.Task, told.Crashes, now) {
			raised = true
		}
	}
	if raised {
		c.failCrashingJobs(now, &effects)
	}
	return effects
}

// CrashesWorkers reports whether too many workers have crashed under one of the job's tasks, as far as this host knows.
func (c *Cell) CrashesWorkers(job *Job, now time.Time) bool {
	c.takeCrashes(job, now)
	return job.crashesWorkers()
}

// takeCrashes takes the counts of the job's tasks from the table.
func (c *Cell) takeCrashes(job *Job, now time.Time) {
	if len(c.crashTable.entries) == 0 {
		return
	}
	for _, task := range job.Tasks {
		task.crashes = task.crashes.atLeast(c.crashTable.count(task.Name, now))
	}
	job.changed()
}

// failCrashingJobs takes the counts of all undecided jobs from the table, and fails those with too many.
func (c *Cell) failCrashingJobs(now time.Time, effects *Effects) {
	for _, job := range c.sortedJobs() {
		c.takeCrashes(job, now)
		c.failCrashing(job, now, effects)
	}
}
