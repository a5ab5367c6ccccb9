package cellhost

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

var (
	noticesSent       = metrics.NewCounter(`chervilusher_start_notices_total{end="sent"}`)
	noticesFailed     = metrics.NewCounter(`chervilusher_start_notices_total{end="failed"}`)
	unwitnessedStarts = metrics.NewCounter(`chervilusher_starts_without_witness_total`)
)

// maxWitnesses is how many hosts are told of a start: one of the keeper's failure domain, which can be reached while that is
// cut off, and one elsewhere, which remains if the failure domain is lost.
const maxWitnesses = 2

// StartRecorder keeps the starts of which other keepers tell.
type StartRecorder interface {
	WitnessStarts(sender cell.Sender, starts []cell.SentStart)
}

// WitnessController tells a few other hosts of each start before it is sent: a start without an answer may be carried out long
// after its keeper is lost, and only those who know of it can keep its task from running elsewhere meanwhile.
type WitnessController struct {
	common   *common.Common
	options  Options
	board    *Board
	client   *peer.Client
	recorder StartRecorder
	chosen   atomic.Pointer[witnessChoice]
}

// witnessChoice holds the witnesses by a view of the hosts.
type witnessChoice struct {
	view      *View
	witnesses []PeerState
}

// NewWitnessController returns the controller and adds its method to the peer server.
func NewWitnessController(c *common.Common, options Options, board *Board, client *peer.Client, server *peer.Server, recorder StartRecorder) *WitnessController {
	controller := &WitnessController{common: c.Prefixed("witness"), options: options, board: board, client: client, recorder: recorder}
	peer.Handle(server, peer.MethodStarts, controller.serve)
	return controller
}

func (w *WitnessController) serve(_ context.Context, notice *peer.StartsNotice) (*peer.StartsNoticed, error) {
	w.recorder.WitnessStarts(cell.Sender{Host: notice.Host, Incarnation: notice.Incarnation}, notice.Starts)
	return &peer.StartsNoticed{}, nil
}

// Notify implements StartNotifier.
func (w *WitnessController) Notify(starts []cell.SentStart) <-chan struct{} {
	written := make(chan struct{})
	witnesses := w.witnesses()
	if len(witnesses) == 0 {
		unwitnessedStarts.Add(len(starts))
		close(written)
		return written
	}
	notice := &peer.StartsNotice{Host: w.options.Name, Incarnation: w.common.Incarnation, Starts: starts}
	var writing sync.WaitGroup
	writing.Add(len(witnesses))
	for i := range witnesses {
		go w.send(&witnesses[i], notice, writing.Done)
	}
	go func() {
		writing.Wait()
		close(written)
	}()
	return written
}

// send calls written as soon as the notice is written or cannot be.
func (w *WitnessController) send(witness *PeerState, notice *peer.StartsNotice, written func()) {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.SuspectTimeout/2)
	defer cancel()
	receive, err := peer.Send[peer.StartsNotice, peer.StartsNoticed](ctx, w.client, witness.Address, peer.MethodStarts, notice)
	written()
	if err == nil {
		_, err = receive()
	}
	if err != nil {
		noticesFailed.Inc()
		w.common.Log.WithField("peer", witness.Name).WithField("starts", len(notice.Starts)).WithError(err).Debug("a notice of starts failed")
		return
	}
	noticesSent.Inc()
}

// witnesses returns the hosts that are told of this host's starts.
func (w *WitnessController) witnesses() []PeerState {
	view := w.board.View()
	if choice := w.chosen.Load(); choice != nil && choice.view == view {
		return choice.witnesses
	}
	choice := &witnessChoice{view: view, witnesses: chooseWitnesses(view, w.options.Name, w.options.FailureDomain)}
	w.chosen.Store(choice)
	return choice.witnesses
}

// chooseWitnesses returns a host of the failure domain and one elsewhere, or two of either if the other has none. Keepers, which
// are large enough and known to all other keepers, go first, and each host has an order of its own among them.
func chooseWitnesses(view *View, name, domain string) []PeerState {
	var local, elsewhere firstHosts
	for other := range view.Hosts {
		state := view.Hosts[other]
		if other == name || !state.Alive || state.Leaving || !state.HeartbeatPeer || !state.WitnessesStarts {
			continue
		}
		ranked := rankedHost{name: other, isKeeper: state.IsKeeper(), rank: xxhash.Sum64String(name + "/" + other)}
		if state.FailureDomain == domain {
			local.add(ranked)
		} else {
			elsewhere.add(ranked)
		}
	}
	chosen := slices.Concat(local, elsewhere)
	if len(local) > 0 && len(elsewhere) > 0 {
		chosen = []rankedHost{local[0], elsewhere[0]}
	}
	witnesses := make([]PeerState, 0, len(chosen))
	for _, host := range chosen {
		witnesses = append(witnesses, view.Hosts[host.name])
	}
	return witnesses
}

// rankedHost is a host that may become a witness.
type rankedHost struct {
	name     string
	isKeeper bool
	rank     uint64
}

// firstHosts are the first maxWitnesses of the hosts that were added, in their order.
type firstHosts []rankedHost

func (f *firstHosts) add(host rankedHost) {
	at, _ := slices.BinarySearchFunc(*f, host, func(a, b rankedHost) int {
		return cmp.Or(boolToInt(b.isKeeper)-boolToInt(a.isKeeper), cmp.Compare(a.rank, b.rank))
	})
	if at < maxWitnesses {
		*f = slices.Insert(*f, at, host)
		*f = (*f)[:min(len(*f), maxWitnesses)]
	}
}
