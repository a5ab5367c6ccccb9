package cellhost

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/keeper"
	"chervilusher.dev/entry/pkg/peer"
)

// claimInterval is how often claims are compared with the view.
const claimInterval = 50 * time.Millisecond

// hostBits are the low bits of an epoch, which tell hosts apart that claim in the same millisecond.
const hostBits = 10

// ClaimsController decides which cells this host keeps: a keeper stays while it lives, and without one the best live host of the place follows.
type ClaimsController struct {
	common    *common.Common
	options   Options
	board     *Board
	keeper    *KeeperController
	started   time.Time
	unclaimed map[string]time.Time // since when a cell has no live keeper
	epoch     int64                // the last one
}

// NewClaimsController returns a controller that claims nothing yet.
func NewClaimsController(c *common.Common, options Options, board *Board, workers *KeeperController) *ClaimsController {
	return &ClaimsController{
		common:    c.Prefixed("claims"),
		options:   options,
		board:     board,
		keeper:    workers,
		started:   c.Clock.Now(),
		unclaimed: map[string]time.Time{},
	}
}

// Serve keeps the claims up to date until the context ends.
func (c *ClaimsController) Serve(ctx context.Context) {
	c.common.Every(ctx, claimInterval, c.tick)
}

func (c *ClaimsController) tick() {
	now := c.common.Clock.Now()
	view := c.board.View()
	workers := c.board.Workers()
	var claims []peer.Claim
	for _, cellName := range cellsOf(workers, c.board.Claims()) {
		if claim, keeps := c.decide(cellName, view, now); keeps {
			claims = append(claims, claim)
		}
	}
	c.board.claims.Store(&claims)
	c.keeper.Sync(claims, workers, view, c.board.Draining.Load())
}

// decide returns this host's claim of the cell, if it keeps or takes it.
func (c *ClaimsController) decide(cellName string, view *View, now time.Time) (peer.Claim, bool) {
	log := c.common.Log.WithField("cell", cellName)
	mine, keeps := claimOf(c.board.Claims(), cellName)
	if keeps && c.board.Draining.Load() {
		return mine, true
	}
	host, claim, found := view.Claimant(cellName)
	switch {
	case keeps && found && host != c.options.Name && view.outranks(cellName, host, claim, c.options.Name, mine):
		log.WithField("keeper", host).WithField("epoch", claim.Epoch).WithField("own", mine.Epoch).Warn("gave the cell up to another keeper")
		return peer.Claim{}, false
	case keeps:
		return mine, true
	case found:
		delete(c.unclaimed, cellName)
		return peer.Claim{}, false
	}
	since, waiting := c.unclaimed[cellName]
	if !waiting {
		since = now
		c.unclaimed[cellName] = now
	}
	if c.board.Draining.Load() || now.Sub(since) < c.delay(cellName, view, now) || c.follower(cellName, view) != c.options.Name {
		return peer.Claim{}, false
	}
	delete(c.unclaimed, cellName)
	claimed := peer.Claim{Cell: cellName, Epoch: c.newEpoch(now)}
	log.WithField("epoch", claimed.Epoch).WithField("unclaimed", now.Sub(since).String()).Info("took the cell")
	return claimed, true
}

// delay returns how long a cell must be without a keeper before this host claims it.
func (c *ClaimsController) delay(cellName string, view *View, now time.Time) time.Duration {
	switch {
	case view.Isolated:
		return isolatedDelay
	case !hasLiveHost(view, cellName):
		return foreignDelay
	case now.Sub(c.started) < startDelay:
		return startDelay
	default:
		return claimDelay
	}
}

// follower returns the host that is to claim a cell without a keeper.
func (c *ClaimsController) follower(cellName string, view *View) string {
	table := view.Table()
	if host := keeper.Of(cellName, cellName, table); host != "" {
		return host
	}
	for _, place := range livePlaces(view) {
		if host := keeper.Of(cellName, place, table); host != "" {
			return host
		}
	}
	return ""
}

// newEpoch returns an epoch that is above all that were made before, by the clock.
func (c *ClaimsController) newEpoch(now time.Time) int64 {
	own := int64(xxhash.Sum64String(c.options.Name+c.common.Incarnation) & (1<<hostBits - 1))
	epoch := now.UnixMilli()<<hostBits | own
	if epoch <= c.epoch {
		epoch = c.epoch + 1<<hostBits
	}
	c.epoch = epoch
	return epoch
}

func claimOf(claims []peer.Claim, cellName string) (peer.Claim, bool) {
	for _, claim := range claims {
		if claim.Cell == cellName {
			return claim, true
		}
	}
	return peer.Claim{}, false
}

func cellsOf(workers map[string]WorkerInfo, claims []peer.Claim) []string {
	var names []string
	for place := range placesOf(workers) {
		names = append(names, place)
	}
	for _, claim := range claims {
		if !slices.Contains(names, claim.Cell) {
			names = append(names, claim.Cell)
		}
	}
	slices.Sort(names)
	return names
}

func hasLiveHost(view *View, place string) bool {
	return slices.Contains(livePlaces(view), place)
}

// livePlaces returns the places with live hosts that stay, in the order of their names.
func livePlaces(view *View) []string {
	var places []string
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if neighbour.Alive && !neighbour.Leaving && !slices.Contains(places, neighbour.Place) {
			places = append(places, neighbour.Place)
		}
	}
	slices.SortFunc(places, strings.Compare)
	return places
}
