package cellhost

import (
	"time"

	"chervilusher.dev/entry/pkg/cell"
)

// Options identify this host and set its heartbeat and lease times.
type Options struct {
	Name          string // of this host, unique among all hosts
	Address       string // of its listener for peers, host:port
	FailureDomain string
	MaxLease      time.Duration // longest lease of a run, guaranteed by the workers' interface
	ResubmitDelay time.Duration // callers resubmit a broken job after it; no run of the job may live longer

	HeartbeatInterval time.Duration // between two heartbeats
	SuspectTimeout    time.Duration // a host without a heartbeat for this long is suspected and does not count as alive

	KeepApart bool // tasks of queues that slow each other down start on different workers where there is room
	Shares    bool // queues share a group's workers while these cannot serve all that is offered

	Memory int64 // bytes that the jobs of this host's callers may take, and as many those that it runs; 0 is no bound
}

// limits returns the limits of the keeper's cell. A forwarder tells the keeper with its next heartbeat when it last heard the
// caller's host, and that host's own heartbeats are as far apart.
func (o *Options) limits() cell.Limits {
	return cell.Limits{
		Lease: o.MaxLease, Resubmit: o.ResubmitDelay, Unheard: o.SuspectTimeout + 2*o.HeartbeatInterval, CallDelay: maxCallDelay,
		LeaveNotice: leaveNotice, KeepApart: o.KeepApart, Shares: o.Shares,
	}
}

const (
	// DefaultHeartbeatInterval costs each pair of hosts ten small calls a second.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultSuspectTimeout tolerates a host whose processor stalls for a tenth of a second at a time; with the time
	// that a stop takes it stays well under DefaultResubmitDelay.
	DefaultSuspectTimeout = 500 * time.Millisecond
	// DefaultResubmitDelay is the platform's delay before a broken job is sent again.
	DefaultResubmitDelay = 1300 * time.Millisecond

	// maxClockDrift bounds how much faster or slower the clocks of two hosts run.
	maxClockDrift = 0.001
	// tickInterval is the interval between checks of deadlines, leases and overdue runs.
	tickInterval = 10 * time.Millisecond
	// holdWait is how long a worker delays its answer until a run ends; a lease of 1 s outlasts two such waits.
	holdWait = 400 * time.Millisecond
	// foreignRunWait replaces holdWait while runs of an earlier keeper are being stopped, which takes at most 50 ms.
	foreignRunWait = 50 * time.Millisecond
	// callTimeout bounds a call to a worker, in addition to the time for which the worker delays its answer.
	callTimeout = 250 * time.Millisecond
	// maxCallDelay is more than how long after a call without an answer its worker may carry it out: 12 s, and the time from the
	// decision until the call is sent.
	maxCallDelay = 13 * time.Second
	// leaveNotice is how long a worker serves at least after it has announced in the directory that it leaves.
	leaveNotice = 2 * time.Second
	// firstBackoff and lastBackoff bound the delay after a failed call to a worker.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 250 * time.Millisecond
	// forgetPeerAfter is the time without a heartbeat after which a host no longer counts when this host decides
	// whether it is cut off, and of unanswered calls after which its record is dropped; network partitions last up to about 12 s.
	forgetPeerAfter = 20 * time.Second
	// heardLatelyAge is how old a heartbeat may be that shows a host without a keeper that it is not cut off; it calls five hosts
	// a second beyond its heartbeat peers.
	heardLatelyAge = 2 * time.Second
	// fetchTimeout bounds how long a peer may take to send its configuration; no other peer is asked meanwhile.
	fetchTimeout = 500 * time.Millisecond
	// conflictDelay lets heartbeats report the winner of conflicting claims before a fenced worker is reclaimed.
	conflictDelay = 300 * time.Millisecond
	// isolatedDelay replaces conflictDelay and the delay before a claim on a host that hears too few others: one of
	// those may own the cell.
	isolatedDelay = 10 * time.Second
	// claimDelay lets the heartbeats of a keeper arrive before another host claims its cell.
	claimDelay = 150 * time.Millisecond
	// startDelay is how long a host that has just read the directory waits to hear of keepers; a heartbeat that is
	// not answered within half of DefaultSuspectTimeout is sent again.
	startDelay = 400 * time.Millisecond
	// maxStartupHosts is the largest failure domain in which a starting host sends heartbeats to all hosts; each
	// calls all others four times within startDelay.
	maxStartupHosts = 24
	// maxStartupCalls is how many hosts elsewhere a starting host calls at a time until it hears one: most records may be
	// those of hosts that are gone.
	maxStartupCalls = 8
	// viewInterval is the interval at which the view is rebuilt if only loads have changed; heartbeats report these
	// ten times a second.
	viewInterval = 50 * time.Millisecond
	// slowHeartbeatInterval is the interval of heartbeats to hosts that are not heartbeat peers, one of them at a
	// time.
	slowHeartbeatInterval = 2 * DefaultHeartbeatInterval
	// fullMeshHosts is the size of the largest fleet in which all hosts exchange heartbeats; for ten hosts this costs
	// 1 % of a core.
	fullMeshHosts = 12
	// crowdedHosts is the size of a fleet from which on hosts that start together and all read the directory would share
	// too little of the store's bandwidth to read it as fast as it changes: 80 MB/s for entries of 300 bytes, ten
	// workers a host that write every 1.5 s.
	crowdedHosts = 128
	// directoryReaders is how many keepers of a large fleet read the directory for all hosts; enough remain when
	// several fail.
	directoryReaders = 8
	// relayCheckInterval is the interval between checks whether to fetch changes from a peer.
	relayCheckInterval = 100 * time.Millisecond
	// keeperFetchInterval is the interval at which a keeper fetches changes; with the 0.4 s of a directory reader it
	// stays well under the 2 s after which a leaving worker gets no new work.
	keeperFetchInterval = 400 * time.Millisecond
	// otherFetchInterval replaces keeperFetchInterval on hosts that need the directory only when they take over a
	// cell.
	otherFetchInterval = 3 * time.Second
	// keeperMaxDirectoryAge is the age of the last reading beyond which a keeper reads the directory itself; a
	// reading takes a tenth of a second.
	keeperMaxDirectoryAge = time.Second
	// otherMaxDirectoryAge replaces keeperMaxDirectoryAge on other hosts: by then two fetches in a row have failed.
	otherMaxDirectoryAge = 3 * otherFetchInterval
	// workersPerCell bounds the workers of a cell; a keeper of 48 uses about a tenth of a core when all are busy.
	workersPerCell = 48
	// maxCells bounds the number of cells into which another host may claim a failure domain to be divided; 49,000
	// workers fit into that many.
	maxCells = 1024
	// cellSlack is by how many workers a failure domain must fall short before it gets fewer cells.
	cellSlack = workersPerCell * 2 / 5
	// freshDirectoryAge is the maximum age of the last reading of the directory when a new keeper begins; with the
	// 0.4 s to a keeper's next one it stays well under the 2 s after which a leaving worker gets no new work.
	freshDirectoryAge = 500 * time.Millisecond
	// freshDirectoryTimeout bounds how long a new keeper waits for a reading of the directory within
	// freshDirectoryAge.
	freshDirectoryTimeout = time.Second
	// releaseTimeout bounds how long a worker that belongs to another cell is kept until its runs have ended; with
	// handoverHalfDelay it expires 0.6 s before the end of a planned stop, which has 5.3 s.
	releaseTimeout = 4 * time.Second
	// handoverHalfDelay is how long a leaving keeper keeps the second half of its workers; most runs end within it.
	handoverHalfDelay = 700 * time.Millisecond
	// foreignClaimDelay replaces claimDelay in a failure domain without a live host.
	foreignClaimDelay = 2 * time.Second
	// removalGrace is how long a worker stays in use after the directory has dropped it; the platform restores
	// entries within 2 s after an outage.
	removalGrace = 2500 * time.Millisecond
)
