package cellhost

import "time"

// Options are the times that the parts keep to.
type Options struct {
	Name          string // of this host, unique among all hosts
	Address       string // of its listener for peers, host:port
	FailureDomain string
	MaxLease      time.Duration // longest lease of a run, a promise of the workers' interface

	HeartbeatInterval time.Duration // between two heartbeats
	SuspectTimeout    time.Duration // a host that was silent for this long does not count as alive
}

const (
	// DefaultHeartbeatInterval costs each pair of hosts ten small calls a second.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultSuspectTimeout leaves room for a host whose processor stands still for a tenth of a second at a time; together
	// with the lease it stays under the 1.3 s after which a caller sends a broken job again.
	DefaultSuspectTimeout = 500 * time.Millisecond

	// homeHeartbeatTimeout is the silence after which no lease is renewed for a home's sake; with the longest lease on a slow clock
	// (1.02 s) it stays under the 1.3 s after which a caller sends a broken job again.
	homeHeartbeatTimeout = 250 * time.Millisecond
	// tickInterval is how often deadlines, leases and overdue runs are looked at.
	tickInterval = 10 * time.Millisecond
	// holdWait is how long a worker holds the answer back until a run ends; a lease of 1 s outlasts two of them.
	holdWait = 400 * time.Millisecond
	// foreignRunWait is holdWait while runs of an earlier keeper are being stopped, which takes at most 50 ms.
	foreignRunWait = 50 * time.Millisecond
	// callTimeout bounds a call to a worker beyond the time that it holds the answer back.
	callTimeout = 250 * time.Millisecond
	// firstBackoff and lastBackoff bound the delay after a failed call to a worker.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 500 * time.Millisecond
	// forgetAfter is how long a host may be silent until it does not count any more for the question whether this host
	// is cut off from the others; cuts last up to about 12 s.
	forgetAfter = 20 * time.Second
	// offerTimeout bounds how long a peer may take to send its configuration; meanwhile no other is asked.
	offerTimeout = 500 * time.Millisecond
	// conflictDelay lets heartbeats tell of the winner before a fenced worker is taken back.
	conflictDelay = 300 * time.Millisecond
	// isolatedDelay is duelDelay, and the delay before a claim, of a host that hears too few others, which may keep the cell.
	isolatedDelay = 10 * time.Second
	// claimDelay lets the heartbeats of a keeper arrive before another host claims its cell.
	claimDelay = 150 * time.Millisecond
	// startDelay is how long a host that has just read the directory listens for keepers; a heartbeat that is not
	// answered within half of DefaultSuspect is sent again.
	startDelay = 400 * time.Millisecond
	// startMates is up to how many hosts of its place a host asks at its start; each asks all others four times in startDelay.
	startMates = 24
	// viewInterval is how often the view is built anew for new loads alone; heartbeats tell them ten times a second.
	viewInterval = 50 * time.Millisecond
	// farInterval is how often the pulses to hosts go out that are not near, one of them at a time.
	farInterval = 2 * DefaultHeartbeatInterval
	// meshHosts is the size of a fleet in which all hosts send each other heartbeats; ten hosts do so for 1 % of a core.
	meshHosts = 12
	// directoryReaders is how many keepers of a large fleet read the directory for all: the loss of several leaves enough.
	directoryReaders = 8
	// relayInterval is how often it is looked whether a peer is to be asked for changes.
	relayInterval = 100 * time.Millisecond
	// askInterval is how often a keeper asks; with the 0.4 s of a reader it stays well under the 2 s after which a leaving
	// worker gets no new work.
	askInterval = 400 * time.Millisecond
	// otherAskInterval is askInterval of hosts that need the directory only when they take a cell over.
	otherAskInterval = 3 * time.Second
	// keeperPatience is the age of the last reading at which a keeper reads for itself; a reading takes a tenth of a second.
	keeperPatience = time.Second
	// otherPatience is keeperPatience of other hosts: two questions in a row were in vain.
	otherPatience = 3 * otherAskInterval
	// workersPerCell bounds the workers of a cell; keeping 48 takes about a tenth of a core when all are busy.
	workersPerCell = 48
	// mostCells bounds into how many cells another host may say that a place is divided; 49,000 workers have room in them.
	mostCells = 1024
	// cellSlack is by how many workers a place must fall short before it gets fewer cells.
	cellSlack = workersPerCell * 2 / 5
	// freshAge is how old the last reading of the directory may be when a new keeper begins; with the 0.4 s to a keeper's
	// next one it stays well under the 2 s after which a leaving worker gets no new work.
	freshAge = 500 * time.Millisecond
	// freshDelay bounds how long a new keeper waits for a reading of the directory that is not older than that.
	freshDelay = time.Second
	// releaseTimeout bounds how long a worker that belongs to another cell is kept until its runs have ended; with halfTime
	// it ends 0.6 s before a planned stop does, which has 5.3 s.
	releaseTimeout = 4 * time.Second
	// handoverHalfDelay is how long a leaving keeper goes on with the second half of its workers; most runs end within it.
	handoverHalfDelay = 700 * time.Millisecond
	// foreignDelay is claimDelay where no host of the place is alive.
	foreignDelay = 2 * time.Second
	// removalGrace is how long a worker stays in use that the directory does not show any more; the platform puts
	// entries back within 2 s after an outage.
	removalGrace = 2500 * time.Millisecond
)
