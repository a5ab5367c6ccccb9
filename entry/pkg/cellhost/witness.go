package cellhost

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

var (
	noticesSent       = metrics.NewCounter(`chervilusher_start_notices_total{end="sent"}`)
	noticesFailed     = metrics.NewCounter(`chervilusher_start_notices_total{end="failed"}`)
	noticesDelayed    = metrics.NewCounter(`chervilusher_start_notices_late_total`)
	noticeTime        = metrics.NewHistogram(`chervilusher_start_notice_seconds`)
	unwitnessedStarts = metrics.NewCounter(`chervilusher_starts_without_witness_total`)
)

const (
	// maxWitnesses is the number of witnesses of a start: one in the keeper's failure domain, which it reaches during a partition
	// of that domain, and one elsewhere, which survives the loss of the domain.
	maxWitnesses = 2
	// noticeTimeout bounds the wait of a start for its notices to be written; only a connection that has to be opened first or has filled
	// up needs more.
	noticeTimeout = 5 * time.Millisecond
)

// WitnessController notifies a few other hosts of each start before it is sent: a start without an answer may be carried out long
// after its keeper has failed, and only hosts with a record of it can keep its task from running elsewhere meanwhile.
type WitnessController struct {
	common  *common.Common
	options Options
	board   *Board
	client  *peer.Client
	cached  atomic.Pointer[witnessesOfView]
}

// witnessesOfView holds the witnesses for one view of the hosts.
type witnessesOfView struct {
	view      *View
	witnesses []PeerState
}

// NewWitnessController returns the controller.
func NewWitnessController(c *common.Common, options Options, board *Board, client *peer.Client) *WitnessController {
	return &WitnessController{common: c.Prefixed("witness"), options: options, board: board, client: client}
}

// Notify implements StartNotifier.
func (w *WitnessController) Notify(starts []cell.LateStart) {
	witnesses := w.witnesses()
	if len(witnesses) == 0 {
		unwitnessedStarts.Add(len(starts))
		return
	}
	began := w.common.Clock.Now()
	defer func() { noticeTime.Update(w.common.Clock.Since(began).Seconds()) }()
	notice := &peer.StartsNotice{Host: w.options.Name, Incarnation: w.common.Incarnation, Starts: starts}
	written := make(chan struct{}, len(witnesses))
	for i := range witnesses {
		go w.send(&witnesses[i], notice, written)
	}
	timeout := w.common.Clock.After(noticeTimeout)
	for range witnesses {
		select {
		case <-written:
		case <-timeout:
			noticesDelayed.Inc()
			return
		}
	}
}

// send reports on the channel that the notice is written, or that it cannot be.
func (w *WitnessController) send(witness *PeerState, notice *peer.StartsNotice, written chan<- struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.SuspectTimeout/2)
	defer cancel()
	receive, err := peer.Send[peer.StartsNotice, peer.StartsNoticed](ctx, w.client, witness.Address, peer.MethodStarts, notice)
	written <- struct{}{}
	if err == nil {
		_, err = receive()
	}
	if err != nil {
		noticesFailed.Inc()
		w.common.Log.WithField("peer", witness.Name).WithField("starts", len(notice.Starts)).WithError(err).Debug("notice of starts failed")
		return
	}
	noticesSent.Inc()
}

// witnesses returns the hosts to notify of this host's starts.
func (w *WitnessController) witnesses() []PeerState {
	view := w.board.View()
	if cached := w.cached.Load(); cached != nil && cached.view == view {
		return cached.witnesses
	}
	selected := &witnessesOfView{view: view, witnesses: selectWitnesses(view, w.options.Name, w.options.FailureDomain)}
	w.cached.Store(selected)
	return selected.witnesses
}

// selectWitnesses returns a host of the failure domain and one elsewhere, or two of either if there is none of the other.
func selectWitnesses(view *View, name, domain string) []PeerState {
	local := firstWitness(view, name, func(_, of string) bool { return of == domain })
	elsewhere := firstWitness(view, name, func(_, of string) bool { return of != domain })
	if local == "" {
		local = firstWitness(view, name, func(other, _ string) bool { return other != elsewhere })
	} else if elsewhere == "" {
		elsewhere = firstWitness(view, name, func(other, _ string) bool { return other != local })
	}
	witnesses := make([]PeerState, 0, maxWitnesses)
	for _, witness := range []string{local, elsewhere} {
		if state, ok := view.Hosts[witness]; ok {
			witnesses = append(witnesses, state)
		}
	}
	return witnesses
}

// firstWitness returns the first host that may be a witness for the named one and is accepted by its name and failure domain, or
// "". Keepers precede others, since they are large and exchange heartbeats with all keepers; rendezvous hashing distributes the
// witnesses among them.
func firstWitness(view *View, name string, accepts func(other, domain string) bool) string {
	first, firstIsKeeper, firstScore := "", false, uint64(0)
	for other := range view.Hosts {
		state := view.Hosts[other]
		if other == name || !state.Alive || state.Leaving || !state.HeartbeatPeer || !state.WitnessesStarts || !accepts(other, state.FailureDomain) {
			continue
		}
		score := xxhash.Sum64String(other + "\x00" + name)
		if order := cmp.Or(boolToInt(state.IsKeeper())-boolToInt(firstIsKeeper), cmp.Compare(score, firstScore)); first == "" || order > 0 {
			first, firstIsKeeper, firstScore = other, state.IsKeeper(), score
		}
	}
	return first
}
