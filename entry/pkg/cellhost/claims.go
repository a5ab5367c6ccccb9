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

// claimInterval is how often claims are compared with the view.
const claimInterval = 50 * time.Millisecond

// hostBits are the low bits of an epoch, which tell hosts apart that claim in the same millisecond.
const hostBits = 10

// ClaimsController decides which cells this host keeps: a keeper stays while it lives, and without one the live host of the place follows that has the most to spare.
type ClaimsController struct {
	common    *common.Common
	options   Options
	board     *Board
	keeper    *KeeperController
	directory *DirectoryController
	members   *MembersController
	unclaimed map[peer.CellKey]time.Time // since when a cell has no live keeper
	claimed   map[peer.CellKey]time.Time // when this host took a cell that it does not use yet
	cells     map[string]int             // last known number of cells, by place
	layout    layout
	epoch     int64 // the last one
	quiet     *quietProbe
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
		claimed:   map[peer.CellKey]time.Time{},
		cells:     map[string]int{},
		layout:    layout{board: board},
		quiet:     newQuietProbe(workers.workers, c.Clock),
	}
}

// Serve keeps the claims up to date until the context ends.
func (c *ClaimsController) Serve(ctx context.Context) {
	c.common.Every(ctx, claimInterval, c.tick)
}

func (c *ClaimsController) tick() {
	now := c.common.Clock.Now()
	view := newHolders(c.board.View())
	for place, workers := range c.layout.perPlace() {
		c.cells[place] = c.divide(place, workers, view)
	}
	claims := c.claims(view, now)
	changed := !slices.Equal(claims, c.board.Claims())
	c.board.claims.Store(&claims)
	c.keeper.Sync(c.wanted(c.usable(claims, view, now)), c.board.Workers(), view.View, c.isFollowed(claims, view))
	if changed {
		// Only now: the heartbeat that tells of a cell given up must also tell which of its workers are still busy.
		c.members.SendHeartbeats()
	}
}

// wanted returns the workers of the claimed cells.
func (c *ClaimsController) wanted(claims []peer.Claim) map[string]assignedWorker {
	wanted := map[string]assignedWorker{}
	for _, claim := range claims {
		for _, info := range c.layout.of(claim.Cell, c.cells[claim.Cell.FailureDomain]) {
			wanted[info.ID] = assignedWorker{info: info, epoch: claim.Epoch}
		}
	}
	return wanted
}

// isFollowed reports whether this host is leaving and another one has claimed each of its cells.
func (c *ClaimsController) isFollowed(claims []peer.Claim, view *holders) bool {
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

// divide returns into how many cells a place is divided: the keeper of its first cell decides.
func (c *ClaimsController) divide(place string, workers int, view *holders) int {
	before, known := c.cells[place]
	host, claim, found := view.keeper(peer.CellKey{FailureDomain: place})
	switch {
	case found && host != c.options.Name:
		return min(max(1, claim.CellCount), mostCells)
	case found, !known:
		return cellsFor(workers, max(1, before))
	default:
		return max(1, before)
	}
}

// cellsFor returns how many cells so many workers need; hysteresis keeps workers from moving to and fro when some come and go.
func cellsFor(workers, before int) int {
	needed := max(1, (workers+workersPerCell-1)/workersPerCell)
	if needed >= before {
		return needed
	}
	withSlack := workers + cellSlack
	return max(needed, min(before, (withSlack+workersPerCell-1)/workersPerCell))
}

// claims returns the cells that this host keeps from now on.
func (c *ClaimsController) claims(view *holders, now time.Time) []peer.Claim {
	var claims []peer.Claim
	following := c.followers(view)
	c.board.follows.Store(isFollower(c.options.Name, following))
	for _, key := range c.keys() {
		if claim, keeps := c.decide(key, view, following[key], now); keeps {
			claim.CellCount = c.cells[key.FailureDomain]
			claims = append(claims, claim)
		}
	}
	return claims
}

// isFollower reports whether the host is to claim one of the cells.
func isFollower(host string, following map[peer.CellKey]string) bool {
	for _, follower := range following {
		if follower == host {
			return true
		}
	}
	return false
}

// keys returns the cells of all places in their order.
func (c *ClaimsController) keys() []peer.CellKey {
	var keys []peer.CellKey
	for place, count := range c.cells {
		for index := range count {
			keys = append(keys, peer.CellKey{FailureDomain: place, Index: index})
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

// decide returns this host's claim of the cell, if it keeps or takes it.
func (c *ClaimsController) decide(key peer.CellKey, view *holders, follower string, now time.Time) (peer.Claim, bool) {
	log := c.common.Log.WithField("cell", key)
	mine, keeps := claimOf(c.board.Claims(), key)
	if keeps && c.board.Draining.Load() {
		return mine, true
	}
	host, claim, found := view.keeper(key)
	changesHands := found && follower != ""
	switch {
	case keeps && found && host != c.options.Name && view.outranks(host, claim, c.options.Name, mine):
		log.WithField("keeper", host).WithField("epoch", claim.Epoch).WithField("own", mine.Epoch).Warn("gave the cell up to another keeper")
		return peer.Claim{}, false
	case keeps:
		return mine, true
	case found && !changesHands:
		delete(c.unclaimed, key)
		c.quiet.forget(key)
		return peer.Claim{}, false
	}
	since, waiting := c.unclaimed[key]
	if !waiting {
		since = now
		c.unclaimed[key] = now
	}
	if changesHands && !c.isFresh(now) {
		return peer.Claim{}, false
	}
	if !c.isSettled(view, now) || c.board.Draining.Load() || now.Sub(since) < c.delay(key, view, now.Sub(since)) || follower != c.options.Name {
		return peer.Claim{}, false
	}
	delete(c.unclaimed, key)
	c.quiet.forget(key)
	c.claimed[key] = now
	taken := peer.Claim{Cell: key, Epoch: c.newEpoch(now)}
	if found {
		log = log.WithField("from", host)
	}
	log.WithField("epoch", taken.Epoch).WithField("unclaimed", now.Sub(since).String()).WithField("minority", view.Minority).Info("took the cell")
	return taken, true
}

// returns reports whether a cell that a host of another place keeps is to go back to this host's place.
func (c *ClaimsController) returns(key peer.CellKey, host string, view *holders) bool {
	return c.options.FailureDomain == key.FailureDomain && view.Hosts[host].FailureDomain != key.FailureDomain
}

// isFresh reports whether the directory was read so lately that a cell could be used at once.
func (c *ClaimsController) isFresh(now time.Time) bool {
	return !c.directory.LastRead().Before(now.Add(-freshAge))
}

// isSettled reports whether this host has heard of other keepers, or would have by now.
func (c *ClaimsController) isSettled(view *holders, now time.Time) bool {
	since, known := c.members.HostsKnownSince()
	return known && (view.Complete || now.Sub(since) >= startDelay)
}

// usable returns the claims whose workers may be used: a leaving worker must be known as such before it gets work from a
// new keeper, and a keeper that is to give the cell up must have said which workers it still has.
func (c *ClaimsController) usable(claims []peer.Claim, view *holders, now time.Time) []peer.Claim {
	usable := make([]peer.Claim, 0, len(claims))
	for _, claim := range claims {
		since, fresh := c.claimed[claim.Cell]
		isOld := c.directory.LastRead().Before(since.Add(-freshAge))
		if fresh && now.Sub(since) < freshDelay && (isOld || c.isClaimedElsewhere(claim.Cell, view)) {
			continue
		}
		delete(c.claimed, claim.Cell)
		usable = append(usable, claim)
	}
	return usable
}

// isClaimedElsewhere reports whether another live host still says that it keeps the cell.
func (c *ClaimsController) isClaimedElsewhere(key peer.CellKey, view *holders) bool {
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if name == c.options.Name || !neighbour.Alive || neighbour.Leaving {
			continue
		}
		if _, claims := claimOf(neighbour.Claims, key); claims {
			return true
		}
	}
	return false
}

// delay returns how long a cell must be without a keeper before this host claims it; it was so for a while already.
func (c *ClaimsController) delay(key peer.CellKey, view *holders, unclaimed time.Duration) time.Duration {
	switch {
	case c.isRelief(key, view) && view.Minority:
		return isolatedDelay
	case c.isRelief(key, view):
		return reliefDelay
	case view.leavers[key]:
		return 0
	case view.Isolated || (view.Minority && key.FailureDomain != c.options.FailureDomain):
		if unclaimed >= quietAfter && c.isQuiet(key, view) {
			return 0
		}
		return isolatedDelay
	case len(view.staying[key.FailureDomain]) == 0:
		return foreignDelay
	case view.Complete:
		return 0
	default:
		return claimDelay
	}
}

// isQuiet reports whether the last known keeper of the cell is gone for certain, although a cut could hide it from this host.
func (c *ClaimsController) isQuiet(key peer.CellKey, view *holders) bool {
	epoch := int64(0)
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if claim, claims := claimOf(neighbour.Claims, key); claims {
			epoch = max(epoch, claim.Epoch)
		}
	}
	if epoch == 0 {
		return false
	}
	return c.quiet.isQuiet(key, epoch, c.layout.of(key, c.cells[key.FailureDomain]))
}

// followers returns the host that is to claim each cell without a keeper, or one that is to change hands: the host that
// would carry the least for its size.
func (c *ClaimsController) followers(view *holders) map[peer.CellKey]string {
	var freeSlots []peer.CellKey
	for _, key := range c.keys() {
		if host, _, found := view.keeper(key); !found || c.returns(key, host, view) {
			freeSlots = append(freeSlots, key)
		}
	}
	carried := make(map[string]int, len(view.Hosts))
	for name := range view.Hosts {
		carried[name] = len(view.Hosts[name].Claims)
	}
	followers := make(map[peer.CellKey]string, len(freeSlots))
	for _, key := range freeSlots {
		if host := view.leastLoaded(key, carried); host != "" {
			followers[key] = host
			carried[host]++
		}
	}
	if key, host, found := c.relief(view, carried, freeSlots); found {
		followers[key] = host
	}
	return followers
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

func claimOf(claims []peer.Claim, key peer.CellKey) (peer.Claim, bool) {
	for _, claim := range claims {
		if claim.Cell == key {
			return claim, true
		}
	}
	return peer.Claim{}, false
}
