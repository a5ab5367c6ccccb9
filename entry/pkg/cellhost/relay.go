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

// Questions to peers, by how they ended.
var (
	asksTold    = metrics.NewCounter(`chervilusher_directory_asks_total{end="told"}`)
	asksFailed  = metrics.NewCounter(`chervilusher_directory_asks_total{end="failed"}`)
	asksUnknown = metrics.NewCounter(`chervilusher_directory_asks_total{end="unknown"}`)
)

// RelayController lets few hosts read the directory and tell the others what has changed: what a reading costs grows with the workers, and read by each host it would grow with the square of the fleet.
type RelayController struct {
	common    *common.Common
	options   Options
	board     *Board
	client    *peer.Client
	directory *DirectoryController
	asking    atomic.Bool
	asked     time.Time    // when a peer was last asked
	missed    atomic.Int64 // when a peer last knew too little to tell, in Unix nanoseconds
	moved     atomic.Int64 // when a peer last told this host of something later than it knew, in Unix nanoseconds
}

// NewRelayController returns the controller and adds its method to the server of peers.
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

// ReadsDirectory reports whether this host reads the directory itself: in a small fleet, as one of the readers, and while no peer tells it.
func (r *RelayController) ReadsDirectory() bool {
	view := r.board.View()
	lastRead := r.directory.LastRead()
	if len(view.Hosts) <= meshHosts || r.isStale() || lastRead.Before(time.Unix(0, r.missed.Load())) {
		return true
	}
	tellers := r.tellers(view)
	return len(tellers) == 0 || slices.Contains(tellers, r.options.Name)
}

// isStale reports whether neither the directory nor a peer has told this host anything for long. While peers tell it of later
// things it leaves the reading to them, although they may be behind: if all keepers read because the readers are slow, none
// of them ever reaches the end.
func (r *RelayController) isStale() bool {
	told := time.Unix(0, r.moved.Load())
	if read := r.directory.LastRead(); read.After(told) {
		told = read
	}
	return r.common.Clock.Since(told) > r.patience()
}

// patience is how old the last reading may become before this host reads for itself.
func (r *RelayController) patience() time.Duration {
	if r.board.IsKeeper() {
		return keeperPatience
	}
	return otherPatience
}

// tellers returns the hosts that may tell this one: for a keeper the few keepers that read the directory, for other hosts any keeper that they hear.
func (r *RelayController) tellers(view *View) []string {
	var keepers []string
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		isSelf := name == r.options.Name
		if neighbour.IsKeeper() && !neighbour.Leaving && (isSelf || (neighbour.Alive && neighbour.ClockKnown)) {
			keepers = append(keepers, name)
		}
	}
	if !r.board.IsKeeper() {
		return keepers
	}
	slices.SortFunc(keepers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	return keepers[:min(len(keepers), directoryReaders)]
}

// Serve asks peers until the context ends.
func (r *RelayController) Serve(ctx context.Context) {
	r.common.Every(ctx, relayInterval, func() { r.tick(ctx) })
}

func (r *RelayController) tick(ctx context.Context) {
	now := r.common.Clock.Now()
	view := r.board.View()
	if len(view.Hosts) <= meshHosts || now.Sub(r.asked) < r.interval() || r.directory.Position() == 0 {
		return
	}
	tellers := r.tellers(view)
	if slices.Contains(tellers, r.options.Name) && !r.isStale() {
		return
	}
	tellers = slices.DeleteFunc(tellers, func(name string) bool { return name == r.options.Name })
	if len(tellers) == 0 || !r.asking.CompareAndSwap(false, true) {
		return
	}
	r.asked = now
	teller := view.Hosts[tellers[rand.IntN(len(tellers))]]
	go func() {
		defer r.asking.Store(false)
		r.ask(ctx, &teller)
	}()
}

// interval is the delay between two questions. A change reaches a keeper through two steps of askInterval, and has to within 2 s.
func (r *RelayController) interval() time.Duration {
	if r.board.IsKeeper() || r.board.follows.Load() {
		return askInterval
	}
	return otherAskInterval
}

func (r *RelayController) ask(ctx context.Context, teller *PeerState) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	since := r.directory.Position()
	sent := r.common.Clock.Now()
	response, err := peer.Call[peer.ChangesRequest, peer.ChangesResponse](ctx, r.client, teller.Address, peer.MethodChanges, &peer.ChangesRequest{Since: since, AllowFull: true})
	log := r.common.Log.WithField("peer", teller.Name)
	switch {
	case err != nil:
		asksFailed.Inc()
		log.WithError(err).Warn("cannot take changes of the directory from a peer")
	case !response.Known && response.Position >= since:
		asksUnknown.Inc()
		log.WithField("since", since).Info("the peer cannot tell what changed; this host reads for itself")
		r.missed.Store(sent.UnixNano())
	case !response.Known: // the peer is behind; another is asked next
		asksUnknown.Inc()
	case r.directory.Apply(toldChange(since, response, sent)):
		asksTold.Inc()
		if response.Position > since {
			r.moved.Store(sent.UnixNano())
		}
	}
}

// toldChange returns what a peer, asked at a time, tells of the time since a position.
func toldChange(since int64, response *peer.ChangesResponse, asked time.Time) *DirectoryChange {
	change := &DirectoryChange{
		Entries:    listedEntries(response.Workers),
		Snapshot:   response.Full,
		FromPeer:   true,
		From:       since,
		Next:       response.Position,
		CompleteAt: asked.Add(-time.Duration(response.Age)),
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
