package cellhost

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// claimInterval is the interval at which claims are compared with the view.
const claimInterval = 50 * time.Millisecond

// hostBits is the number of low bits of an epoch that distinguish hosts claiming in the same millisecond.
const hostBits = 10

// ClaimsController decides which cells this host keeps: a live keeper keeps its cell, and a cell without one goes to
// the live host of the failure domain that has the fewest cells for its size.
type ClaimsController struct {
	common    *common.Common
	options   Options
	board     *Board
	keeper    *KeeperController
	directory *DirectoryController
	members   *MembersController
	unclaimed map[peer.CellKey]time.Time // since when a cell has had no live keeper
	claimedAt map[peer.CellKey]time.Time // when this host claimed a cell whose workers it does not use yet
	cells     map[string]int             // last known number of cells, by failure domain
	layout    layout
	epoch     int64 // the last one issued
	idleProbe *idleProbe
}

// NewClaimsController returns a controller that claims nothing yet.
func NewClaimsController(
	c *common.Common,
	options Options,
	board *Board,
	workers *KeeperController,
	directory *DirectoryController,
	members *MembersController,
) *ClaimsController {
	return &ClaimsController{
		common:    c.Prefixed("claims"),
		options:   options,
		board:     board,
		keeper:    workers,
		directory: directory,
		members:   members,
		unclaimed: map[peer.CellKey]time.Time{},
		claimedAt: map[peer.CellKey]time.Time{},
		cells:     map[string]int{},
		layout:    layout{board: board},
		idleProbe: newIdleProbe(workers.workers, c.Clock),
	}
}

// Serve keeps the claims up to date until the context ends.
func (c *ClaimsController) Serve(ctx context.Context) {
	c.common.Every(ctx, claimInterval, c.tick)
}

func (c *ClaimsController) tick() {
	now := c.common.Clock.Now()
	view := newClaimsView(c.board.View())
	for domain, workers := range c.layout.workersPerDomain() {
		c.cells[domain] = c.cellCount(domain, workers, view)
	}
	claims := c.claims(view, now)
	changed := !slices.Equal(claims, c.board.Claims())
	c.board.claims.Store(&claims)
	c.keeper.Sync(c.wanted(c.usable(claims, view, now), view), c.board.Workers(), view.View, c.isSucceeded(claims, view))
	if changed {
		// After Sync: the heartbeat that reports a released cell must also report which of its workers are still busy.
		c.members.SendHeartbeats()
	}
}

// wanted returns the workers of the claimed cells.
func (c *ClaimsController) wanted(claims []peer.Claim, view *claimsView) map[string]assignedWorker {
	wanted := map[string]assignedWorker{}
	for _, claim := range claims {
		keepOnly := c.board.Draining.Load() && c.isClaimedLater(claim, view)
		for _, info := range c.layout.cellWorkers(claim.Cell, c.cells[claim.Cell.FailureDomain]) {
			wanted[info.ID] = assignedWorker{info: info, epoch: claim.Epoch, keepOnly: keepOnly}
		}
	}
	return wanted
}

// isClaimedLater reports whether another live host, leaving or not, has claimed the cell after this one.
func (c *ClaimsController) isClaimedLater(claim peer.Claim, view *claimsView) bool {
	for name := range view.Hosts {
		state := view.Hosts[name]
		if name == c.options.Name || !state.Alive {
			continue
		}
		if later, claims := claimOf(state.Claims, claim.Cell); claims && later.Epoch > claim.Epoch {
			return true
		}
	}
	return false
}

// isSucceeded reports whether this host is leaving and another one has claimed each of its cells.
func (c *ClaimsController) isSucceeded(claims []peer.Claim, view *claimsView) bool {
	if !c.board.Draining.Load() {
		return false
	}
	for _, claim := range claims {
		if host, _, found := view.keeper(claim.Cell); !found || host == c.options.Name {
			return false
		}
	}
	return true
}

// cellCount returns the number of cells of a failure domain, as decided by the keeper of its first cell.
func (c *ClaimsController) cellCount(domain string, workers int, view *claimsView) int {
	before, known := c.cells[domain]
	host, claim, found := view.keeper(peer.CellKey{FailureDomain: domain})
	switch {
	case found && host != c.options.Name:
		return min(max(1, claim.CellCount), maxCells)
	case found, !known:
		return cellsFor(workers, max(1, before))
	default:
		return max(1, before)
	}
}

// cellsFor returns how many cells the workers need; hysteresis keeps workers from moving between cells when a few
// come and go.
func cellsFor(workers, before int) int {
	needed := max(1, (workers+workersPerCell-1)/workersPerCell)
	if needed >= before {
		return needed
	}
	withSlack := workers + cellSlack
	return max(needed, min(before, (withSlack+workersPerCell-1)/workersPerCell))
}

// claims returns the cells that this host keeps from now on.
func (c *ClaimsController) claims(view *claimsView, now time.Time) []peer.Claim {
	var claims []peer.Claim
	successors := c.successors(view)
	c.board.claiming.Store(isSuccessor(c.options.Name, successors))
	for _, key := range c.keys() {
		if claim, keeps := c.decide(key, view, successors[key], now); keeps {
			claim.CellCount = c.cells[key.FailureDomain]
			claims = append(claims, claim)
		}
	}
	return claims
}

// isSuccessor reports whether the host is to claim one of the cells.
func isSuccessor(host string, successors map[peer.CellKey]string) bool {
	for _, successor := range successors {
		if successor == host {
			return true
		}
	}
	return false
}

// keys returns the cells of all failure domains in order.
func (c *ClaimsController) keys() []peer.CellKey {
	var keys []peer.CellKey
	for domain, count := range c.cells {
		for index := range count {
			keys = append(keys, peer.CellKey{FailureDomain: domain, Index: index})
		}
	}
	slices.SortFunc(keys, func(a, b peer.CellKey) int {
		if order := strings.Compare(a.FailureDomain, b.FailureDomain); order != 0 {
			return order
		}
		return a.Index - b.Index
	})
	return keys
}

// decide returns this host's claim of the cell, if it keeps the cell or takes it over.
func (c *ClaimsController) decide(key peer.CellKey, view *claimsView, successor string, now time.Time) (peer.Claim, bool) {
	log := c.common.Log.WithField("cell", key)
	mine, keeps := claimOf(c.board.Claims(), key)
	if keeps && c.board.Draining.Load() {
		return mine, true
	}
	host, claim, found := view.keeper(key)
	transfer := found && successor != ""
	switch {
	case keeps && found && host != c.options.Name && view.outranks(host, claim, c.options.Name, mine):
		log.WithField("keeper", host).WithField("epoch", claim.Epoch).WithField("own", mine.Epoch).Warn("released the cell to another keeper")
		return peer.Claim{}, false
	case keeps:
		return mine, true
	case found && !transfer:
		delete(c.unclaimed, key)
		c.idleProbe.forget(key)
		return peer.Claim{}, false
	}
	since, waiting := c.unclaimed[key]
	if !waiting {
		since = now
		c.unclaimed[key] = now
	}
	if transfer && !c.isDirectoryFresh(now) {
		return peer.Claim{}, false
	}
	if !c.peersKnown(view, now) || c.board.Draining.Load() || now.Sub(since) < c.delay(key, view, now.Sub(since)) || successor != c.options.Name {
		return peer.Claim{}, false
	}
	delete(c.unclaimed, key)
	c.idleProbe.forget(key)
	c.claimedAt[key] = now
	taken := peer.Claim{Cell: key, Epoch: c.newEpoch(now)}
	if found {
		log = log.WithField("from", host)
	}
	log.WithField("epoch", taken.Epoch).WithField("unclaimed", now.Sub(since).String()).WithField("minority", view.Minority).Info("took the cell")
	return taken, true
}

// returnsToDomain reports whether a cell whose keeper is in another failure domain is to return to this host's own.
func (c *ClaimsController) returnsToDomain(key peer.CellKey, host string, view *claimsView) bool {
	return c.options.FailureDomain == key.FailureDomain && view.Hosts[host].FailureDomain != key.FailureDomain
}

// isDirectoryFresh reports whether the directory was read recently enough to use a new cell at once.
func (c *ClaimsController) isDirectoryFresh(now time.Time) bool {
	return !c.directory.LastRead().Before(now.Add(-freshDirectoryAge))
}

// peersKnown reports whether this host has heard of other keepers, or would have by now.
func (c *ClaimsController) peersKnown(view *claimsView, now time.Time) bool {
	since, known := c.members.HostsKnownSince()
	return known && (view.Complete || now.Sub(since) >= startDelay)
}

// usable returns the claims whose workers may be used. A new keeper must know which workers are leaving before it
// gives them work, and a keeper that is to release the cell must have reported which workers it still holds.
func (c *ClaimsController) usable(claims []peer.Claim, view *claimsView, now time.Time) []peer.Claim {
	usable := make([]peer.Claim, 0, len(claims))
	for _, claim := range claims {
		since, fresh := c.claimedAt[claim.Cell]
		isOld := c.directory.LastRead().Before(since.Add(-freshDirectoryAge))
		if fresh && now.Sub(since) < freshDirectoryTimeout && (isOld || c.isClaimedElsewhere(claim.Cell, view)) {
			continue
		}
		delete(c.claimedAt, claim.Cell)
		usable = append(usable, claim)
	}
	return usable
}

// isClaimedElsewhere reports whether another live host still claims the cell.
func (c *ClaimsController) isClaimedElsewhere(key peer.CellKey, view *claimsView) bool {
	for name := range view.Hosts {
		state := view.Hosts[name]
		if name == c.options.Name || !state.Alive || state.Leaving {
			continue
		}
		if _, claims := claimOf(state.Claims, key); claims {
			return true
		}
	}
	return false
}

// delay returns how long a cell must be without a keeper before this host claims it; unclaimed is how long it has
// been already.
func (c *ClaimsController) delay(key peer.CellKey, view *claimsView, unclaimed time.Duration) time.Duration {
	switch {
	case c.isRebalance(key, view) && view.Minority:
		return isolatedDelay
	case c.isRebalance(key, view):
		return rebalanceDelay
	case view.leavingCells[key]:
		return 0
	case view.Isolated || (view.Minority && key.FailureDomain != c.options.FailureDomain):
		if unclaimed >= idleProbeDelay && c.isKeeperDown(key, view) {
			return 0
		}
		return isolatedDelay
	case len(view.active[key.FailureDomain]) == 0:
		return foreignClaimDelay
	case view.Complete:
		return 0
	default:
		return claimDelay
	}
}

// isKeeperDown reports whether the last known keeper of the cell is certainly down, even if a network partition could
// hide it from this host.
func (c *ClaimsController) isKeeperDown(key peer.CellKey, view *claimsView) bool {
	epoch := int64(0)
	for name := range view.Hosts {
		state := view.Hosts[name]
		if claim, claims := claimOf(state.Claims, key); claims {
			epoch = max(epoch, claim.Epoch)
		}
	}
	if epoch == 0 {
		return false
	}
	return c.idleProbe.isIdle(key, epoch, c.layout.cellWorkers(key, c.cells[key.FailureDomain]))
}

// successors returns the host that is to claim each cell without a keeper or due for a transfer: the host that would
// have the fewest cells for its size.
func (c *ClaimsController) successors(view *claimsView) map[peer.CellKey]string {
	var freeCells []peer.CellKey
	for _, key := range c.keys() {
		if host, _, found := view.keeper(key); !found || c.returnsToDomain(key, host, view) {
			freeCells = append(freeCells, key)
		}
	}
	cellCounts := make(map[string]int, len(view.Hosts))
	for name := range view.Hosts {
		cellCounts[name] = len(view.Hosts[name].Claims)
	}
	successors := make(map[peer.CellKey]string, len(freeCells))
	for _, key := range freeCells {
		if host := view.leastLoaded(key, cellCounts); host != "" {
			successors[key] = host
			cellCounts[host]++
		}
	}
	if key, host, found := c.rebalance(view, cellCounts, freeCells); found {
		successors[key] = host
	}
	return successors
}

// newEpoch returns an epoch from the clock that is above all earlier ones of this host.
func (c *ClaimsController) newEpoch(now time.Time) int64 {
	own := int64(xxhash.Sum64String(c.options.Name+c.common.Incarnation) & (1<<hostBits - 1))
	epoch := now.UnixMilli()<<hostBits | own
	if epoch <= c.epoch {
		epoch = c.epoch + 1<<hostBits
	}
	c.epoch = epoch
	return epoch
}

func claimOf(claims []peer.Claim, key peer.CellKey) (peer.Claim, bool) {
	for _, claim := range claims {
		if claim.Cell == key {
			return claim, true
		}
	}
	return peer.Claim{}, false
}
