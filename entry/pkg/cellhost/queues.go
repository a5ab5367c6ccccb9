package cellhost

import (
	"context"
	"sync"
	"sync/atomic"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

// QueuesController holds the newest queues from the store or a peer; it never returns to older ones.
type QueuesController struct {
	common *common.Common
	board  *Board
	client *peer.Client

	fetching atomic.Bool
	mu       sync.Mutex
}

// NewQueuesController returns the controller and adds its method to the peer server.
func NewQueuesController(c *common.Common, board *Board, client *peer.Client, server *peer.Server) *QueuesController {
	controller := &QueuesController{common: c.Prefixed("queues"), board: board, client: client}
	peer.Handle(server, peer.MethodQueues, controller.serveQueues)
	return controller
}

// Apply puts the queues in force if they are newer; the source is for the log.
func (q *QueuesController) Apply(table *queues.Table, source string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.board.Queues()
	if current != nil && table.Version <= current.Version {
		return
	}
	q.board.queues.Store(table)
	q.common.Log.WithField("version", table.Version).WithField("queues", len(table.Queues)).WithField("source", source).Info("configuration in force")
}

// FetchIfNewer fetches the queues of a peer whose version is newer.
func (q *QueuesController) FetchIfNewer(ctx context.Context, address string, version int64) {
	current := q.board.Queues()
	if version == 0 || (current != nil && version <= current.Version) || !q.fetching.CompareAndSwap(false, true) {
		return
	}
	defer q.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := peer.Call[peer.QueuesRequest, peer.QueuesResponse](ctx, q.client, address, peer.MethodQueues, &peer.QueuesRequest{})
	if err != nil {
		q.common.Log.WithField("peer", address).WithError(err).Warn("failed to fetch the configuration from peer")
		return
	}
	q.Apply(queues.New(response.Version, response.Queues), "peer "+address)
}

func (q *QueuesController) serveQueues(context.Context, *peer.QueuesRequest) (*peer.QueuesResponse, error) {
	table := q.board.Queues()
	if table == nil {
		return &peer.QueuesResponse{}, nil
	}
	return &peer.QueuesResponse{Version: table.Version, Queues: table.Queues}, nil
}
