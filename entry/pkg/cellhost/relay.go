package cellhost

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// Fetches of changes from peers, by result.
var (
	fetchesApplied = metrics.NewCounter(`chervilusher_directory_asks_total{end="told"}`)
	fetchesFailed  = metrics.NewCounter(`chervilusher_directory_asks_total{end="failed"}`)
	fetchesUnknown = metrics.NewCounter(`chervilusher_directory_asks_total{end="unknown"}`)
)

// RelayController lets a few hosts read the directory and serve its changes to the others: a reading costs more with
// each worker, so that the cost of readings by every host would grow with the square of the fleet.
type RelayController struct {
	common       *common.Common
	options      Options
	board        *Board
	client       *peer.Client
	directory    *DirectoryController
	fetching     atomic.Bool
	lastFetch    time.Time    // when changes were last requested from a peer
	lastUnknown  atomic.Int64 // when a peer last could not provide the changes, in Unix nanoseconds
	lastProgress atomic.Int64 // when a peer last provided a later position than this host's, in Unix nanoseconds
	crowdedSince atomic.Int64 // when this host first saw a crowded fleet, in Unix nanoseconds
}

// NewRelayController returns the controller and adds its method to the peer server.
func NewRelayController(
	c *common.Common,
	options Options,
	board *Board,
	client *peer.Client,
	server *peer.Server,
	directory *DirectoryController,
) *RelayController {
	controller := &RelayController{
		common:    c.Prefixed("relay"),
		options:   options,
		board:     board,
		client:    client,
		directory: directory,
	}
	peer.Handle(server, peer.MethodChanges, controller.serve)
	return controller
}

// IsKeeper reports whether this host keeps a cell.
func (r *RelayController) IsKeeper() bool {
	return r.board.IsKeeper()
}

// ReadsDirectory reports whether this host reads the directory itself: in a small fleet, as one of the directory
// readers, or while no peer provides changes.
func (r *RelayController) ReadsDirectory() bool {
	view := r.board.View()
	if isCrowded(view) {
		r.crowdedSince.CompareAndSwap(0, r.common.Clock.Now().UnixNano())
	}
	if view.Size() <= fullMeshHosts || r.directoryStale() || r.isUnknownToPeers() {
		return true
	}
	sources := r.sources(view)
	return len(sources) == 0 || slices.Contains(sources, r.options.Name)
}

// isUnknownToPeers reports whether a peer could not provide the changes since this host's last reading.
func (r *RelayController) isUnknownToPeers() bool {
	asked := r.lastUnknown.Load()
	return asked != 0 && r.directory.LastRead().Before(time.Unix(0, asked))
}

// directoryStale reports whether neither a reading nor a peer has brought the directory forward for maxDirectoryAge,
// in a crowded fleet from the start on.
// While peers provide later positions this host leaves the reading to them, although they may be behind: if all
// keepers read because the readers are slow, none of them ever reaches the end.
func (r *RelayController) directoryStale() bool {
	progress := time.Unix(0, max(r.lastProgress.Load(), r.crowdedSince.Load()))
	if read := r.directory.LastRead(); read.After(progress) {
		progress = read
	}
	return r.common.Clock.Since(progress) > r.maxDirectoryAge()
}

// maxDirectoryAge is the age of the last reading beyond which this host reads the directory itself.
func (r *RelayController) maxDirectoryAge() time.Duration {
	if r.board.IsKeeper() {
		return keeperMaxDirectoryAge
	}
	return otherMaxDirectoryAge
}

// sources returns the hosts that may serve changes to this one: for a keeper the directory readers, for other hosts
// any keeper that they hear.
func (r *RelayController) sources(view *View) []string {
	var keepers []string
	for name := range view.Hosts {
		state := view.Hosts[name]
		isSelf := name == r.options.Name
		if state.IsKeeper() && !state.Leaving && (isSelf || (state.Alive && state.ClockKnown)) {
			keepers = append(keepers, name)
		}
	}
	switch {
	case len(keepers) == 0 && isCrowded(view):
		return firstReaders(view)
	case !r.board.IsKeeper():
		return keepers
	}
	slices.SortFunc(keepers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	return keepers[:min(len(keepers), directoryReaders)]
}

// firstReaders returns the hosts that read the directory for all others of a crowded fleet before any keeps a cell: the
// largest, since each serves the whole directory to many.
func firstReaders(view *View) []string {
	var hosts []string
	for name := range view.Hosts {
		if state := view.Hosts[name]; state.Alive && !state.Leaving {
			hosts = append(hosts, name)
		}
	}
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(view.Hosts[b].Size, view.Hosts[a].Size), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)))
	})
	return hosts[:min(len(hosts), directoryReaders)]
}

// isCrowded reports whether the fleet is too large for all hosts to read the directory at once.
func isCrowded(view *View) bool {
	return view.Size() >= crowdedHosts
}

// Serve fetches changes from peers until the context ends; in a small fleet while this host cannot read the directory.
func (r *RelayController) Serve(ctx context.Context) {
	r.common.Every(ctx, relayCheckInterval, func() { r.tick(ctx) })
}

func (r *RelayController) tick(ctx context.Context) {
	now := r.common.Clock.Now()
	view := r.board.View()
	if now.Sub(r.lastFetch) < r.fetchInterval() || (r.directory.Position() == 0 && !isCrowded(view)) {
		return
	}
	if view.Size() <= fullMeshHosts && !r.directoryStale() {
		return // each host reads the directory itself, unless the store turns it away
	}
	sources := r.sources(view)
	if slices.Contains(sources, r.options.Name) && !r.directoryStale() {
		return
	}
	sources = slices.DeleteFunc(sources, func(name string) bool { return name == r.options.Name })
	if len(sources) == 0 || !r.fetching.CompareAndSwap(false, true) {
		return
	}
	r.lastFetch = now
	source := view.Hosts[sources[rand.IntN(len(sources))]]
	go func() {
		defer r.fetching.Store(false)
		r.fetch(ctx, &source)
	}()
}

// fetchInterval is the delay between two fetches. A change reaches a keeper through two steps of keeperFetchInterval,
// and must within 2 s.
func (r *RelayController) fetchInterval() time.Duration {
	isStarting := isCrowded(r.board.View()) && r.common.Clock.Since(r.directory.LastRead()) > otherMaxDirectoryAge
	if r.board.IsKeeper() || r.board.claiming.Load() || isStarting {
		return keeperFetchInterval
	}
	return otherFetchInterval
}

func (r *RelayController) fetch(ctx context.Context, source *PeerState) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	since := r.directory.Position()
	sent := r.common.Clock.Now()
	response, err := peer.Call[peer.ChangesRequest, peer.ChangesResponse](ctx, r.client, source.Address, peer.MethodChanges, &peer.ChangesRequest{Since: since, AllowFull: true})
	if err != nil {
		fetchesFailed.Inc()
		r.common.Log.WithField("peer", source.Name).WithError(err).Warn("failed to fetch directory changes from peer")
		return
	}
	r.applyChanges(source.Name, since, response, sent)
}

// applyChanges applies a peer's response to a request for the changes since a position, sent at the given time.
func (r *RelayController) applyChanges(source string, since int64, response *peer.ChangesResponse, sent time.Time) {
	switch {
	case !response.Known && response.Position >= since && !isCrowded(r.board.View()):
		fetchesUnknown.Inc()
		r.common.Log.WithField("peer", source).WithField("since", since).Info("peer does not know the changes; this host reads the directory itself")
		r.lastUnknown.Store(sent.UnixNano())
	case !response.Known: // the peer is behind; the next fetch picks a peer anew
		fetchesUnknown.Inc()
	case r.directory.Apply(changeFromPeer(since, response, sent)):
		fetchesApplied.Inc()
		if response.Position > since {
			r.lastProgress.Store(sent.UnixNano())
		}
	}
}

// changeFromPeer returns the change since a position that a peer's response to a fetch holds.
func changeFromPeer(since int64, response *peer.ChangesResponse, sent time.Time) *DirectoryChange {
	change := &DirectoryChange{
		Entries:    listedEntries(response.Workers),
		Snapshot:   response.Full,
		FromPeer:   true,
		From:       since,
		Next:       response.Position,
		CompleteAt: sent.Add(-time.Duration(response.Age)),
	}
	for _, id := range response.Removed {
		change.Entries = append(change.Entries, DirectoryEntry{ID: id})
	}
	return change
}

// listedEntries returns the entries of workers that the directory lists.
func listedEntries(workers []peer.WorkerInfo) []DirectoryEntry {
	entries := make([]DirectoryEntry, 0, len(workers))
	for i := range workers {
		entries = append(entries, DirectoryEntry{ID: workers[i].ID, Worker: workers[i], Listed: true})
	}
	return entries
}

func (r *RelayController) serve(_ context.Context, request *peer.ChangesRequest) (*peer.ChangesResponse, error) {
	return r.directory.ChangesSince(request), nil
}
