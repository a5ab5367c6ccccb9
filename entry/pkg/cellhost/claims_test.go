package cellhost

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	north = "north"
	south = "south"
)

var northCell = peer.CellKey{FailureDomain: north}

// claimant is a host's claims controller with a view that the test sets.
type claimant struct {
	*ClaimsController
	clock *clockwork.FakeClock
	view  *View
	load  *fixedShedder
}

func newClaimant(name, domain string) *claimant {
	clock := clockwork.NewFakeClock()
	c := &common.Common{Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Clock: clock, Incarnation: name}
	options := Options{Name: name, FailureDomain: domain, HeartbeatInterval: DefaultHeartbeatInterval, SuspectTimeout: DefaultSuspectTimeout}
	board := NewBoard()
	server := peer.NewServer()
	load := &fixedShedder{}
	client := peer.NewClient(nil)
	queues := NewQueuesController(c, board, client, server)
	members := NewMembersController(c, options, board, client, server, queues, NewEvacuationController(c, board), load)
	directory := NewDirectoryController(c, board)
	keeper := NewKeeperController(c, options, board, load, nil, noNotices{}, server)
	members.SetObservers(keeper)
	members.SetCrashes(keeper)
	keeper.SetHeartbeats(members)
	members.hostsKnownSince = clock.Now()
	controller := NewClaimsController(c, options, board, keeper, directory, members)
	controller.cells = map[string]int{north: 1}
	return &claimant{ClaimsController: controller, clock: clock, view: &View{Hosts: map[string]PeerState{}}, load: load}
}

// addHost adds a live host to the view.
func (c *claimant) addHost(name, domain string, size int, claims ...peer.Claim) {
	c.view.Hosts[name] = PeerState{
		Member:     blackboard.Member{Name: name, FailureDomain: domain, Size: size, Alive: true, Incarnation: name},
		Claims:     claims,
		ClockKnown: true,
	}
}

// readAt has the host know the whole directory as of the given time.
func (c *claimant) readAt(at time.Time) {
	position := c.directory.Position()
	c.directory.Apply(&DirectoryChange{From: position, Next: position, CompleteAt: at})
}

// after advances the clock and returns the host's claims.
func (c *claimant) after(delay time.Duration) []peer.Claim {
	claims := c.claims(newClaimsView(c.view), c.clock.Now())
	c.board.claims.Store(&claims)
	c.clock.Advance(delay)
	claims = c.claims(newClaimsView(c.view), c.clock.Now())
	c.board.claims.Store(&claims)
	self := c.view.Hosts[c.options.Name]
	self.Claims = claims
	c.view.Hosts[c.options.Name] = self
	return claims
}

func TestFreeCellIsClaimedOnceKeepersWouldHaveBeenHeard(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	require.Empty(t, c.after(startDelay-time.Millisecond))
	require.Len(t, c.after(claimDelay), 1)
}

func TestKeeperStaysWhenABetterHostComes(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	require.Len(t, c.after(time.Second), 1)
	c.addHost("b", north, 100)
	require.Len(t, c.after(time.Minute), 1)
}

func TestLargestHostClaimsAFreeCell(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 144)
	c.addHost("b", north, 800)
	require.Empty(t, c.after(time.Minute))
	c = newClaimant("b", north)
	c.addHost("a", north, 144)
	c.addHost("b", north, 800)
	require.Len(t, c.after(time.Second), 1)
}

func TestCellsAreSpreadOverHostsBySize(t *testing.T) {
	c := newClaimant("a", north)
	c.cells[north] = 3
	c.addHost("a", north, 400)
	c.addHost("b", north, 800)
	successors := c.successors(newClaimsView(c.view))
	counts := map[string]int{}
	for _, host := range successors {
		counts[host]++
	}
	require.Equal(t, map[string]int{"a": 1, "b": 2}, counts)
}

func TestIsolatedHostLeavesACellToTheOthers(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	c.view.Minority, c.view.Isolated = true, true
	require.Empty(t, c.after(isolatedDelay-time.Millisecond))
}

func TestOnlyHostOfACutOffPlaceClaimsItsCell(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	c.view.Minority = true
	require.Len(t, c.after(time.Second), 1)
}

func TestLaterClaimOfTheSamePlaceWins(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	claims := c.after(time.Second)
	require.Len(t, claims, 1)
	c.addHost("b", north, 1, peer.Claim{Cell: northCell, CellCount: 1, Epoch: claims[0].Epoch + 1})
	require.Empty(t, c.after(0))
}

func TestSuccessorOfALeavingKeeperClaimsAtOnce(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	c.addHost("b", north, 1, peer.Claim{Cell: northCell, CellCount: 1, Epoch: 5})
	require.Empty(t, c.after(time.Minute))
	leaver := c.view.Hosts["b"]
	leaver.Leaving = true
	c.view.Hosts["b"] = leaver
	require.Len(t, c.after(0), 1)
}

func TestCellReturnsFromAnotherPlace(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	c.addHost("c", south, 1, peer.Claim{Cell: northCell, CellCount: 1, Epoch: 1 << 62})
	c.readAt(c.clock.Now().Add(time.Second))
	require.Len(t, c.after(time.Second), 1, "the failure domain's own host must take the cell back")

	foreign := newClaimant("c", south)
	foreign.addHost("c", south, 1)
	require.Len(t, foreign.after(foreignClaimDelay), 1, "no host of the failure domain is known")
	foreign.addHost("a", north, 1, peer.Claim{Cell: northCell, CellCount: 1, Epoch: 1})
	require.Empty(t, foreign.after(0), "the failure domain's own host takes precedence, whatever the epochs")
}

func TestCellsOfAPlaceChangeWithHysteresis(t *testing.T) {
	require.Equal(t, 1, cellsFor(16, 1))
	require.Equal(t, 1, cellsFor(workersPerCell, 1))
	require.Equal(t, 2, cellsFor(workersPerCell+1, 1))
	require.Equal(t, 2, cellsFor(workersPerCell-cellSlack+1, 2))
	require.Equal(t, 1, cellsFor(workersPerCell-cellSlack, 2))
	require.Equal(t, 1, cellsFor(0, 3))
}

func TestOneMoreCellMovesOnlyItsShare(t *testing.T) {
	moved := 0
	const workers = 3000
	for i := range workers {
		id := time.Duration(i).String()
		if cellOf(id, north, 3) != cellOf(id, north, 2) {
			moved++
		}
	}
	require.InDelta(t, workers/3, moved, workers/20)
}

func TestRaisedTokensIncreaseAndKeepTheHostBits(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	token := now.UnixMilli()<<hostBits | 17
	for tries := range 10 {
		raised := raiseToken(token, tries, now)
		require.Greater(t, raised, token)
		require.EqualValues(t, 17, raised&(1<<hostBits-1))
		require.Less(t, raised, int64(1)<<53, "workers read tokens as whole numbers up to 2^53")
		token = raised
	}
}

// newClaimantOfAForeignCell returns a host whose failure domain's cell is kept by a host of another one.
func newClaimantOfAForeignCell() *claimant {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	c.addHost("s", south, 1, peer.Claim{Cell: northCell, Epoch: 1})
	c.view.Complete = true
	return c
}

// TestClaimsAtOnceWhenAllHostsWereHeard starts all hosts together, as after a loss of power: none of them keeps a
// cell, and each has heard so from the others.
func TestClaimsAtOnceWhenAllHostsWereHeard(t *testing.T) {
	c := newClaimant("a", north)
	c.addHost("a", north, 2)
	c.addHost("b", north, 1)
	c.view.Complete = true
	require.Len(t, c.after(0), 1)
}

// TestForeignCellStaysWhileTheDirectoryCannotBeRead starts the failure domain's own host while the store is
// unavailable: it could not use the workers before it had read the directory, and the foreign keeper would have
// released them already.
func TestForeignCellStaysWhileTheDirectoryCannotBeRead(t *testing.T) {
	c := newClaimantOfAForeignCell()
	c.readAt(c.clock.Now())
	c.clock.Advance(freshDirectoryAge + time.Millisecond)
	require.Empty(t, c.after(time.Minute))
	c.readAt(c.clock.Now())
	require.Len(t, c.after(0), 1)
}

// TestCellThatReturnsIsUsedOnceItWasGivenUp guards the running jobs of a foreign keeper: a new keeper that takes the
// workers before it hears which of them are still busy would abort these jobs.
func TestCellThatReturnsIsUsedOnceItWasGivenUp(t *testing.T) {
	c := newClaimantOfAForeignCell()
	c.readAt(c.clock.Now())
	claims := c.after(0)
	require.Len(t, claims, 1)
	require.Empty(t, c.usable(claims, newClaimsView(c.view), c.clock.Now()))
	c.addHost("s", south, 1)
	require.Len(t, c.usable(claims, newClaimsView(c.view), c.clock.Now()), 1)
}

func TestClaimIsUsedAfterATimeoutThoughAnotherHostKeepsItsOwn(t *testing.T) {
	c := newClaimantOfAForeignCell()
	c.readAt(c.clock.Now())
	claims := c.after(0)
	require.Empty(t, c.usable(claims, newClaimsView(c.view), c.clock.Now()))
	require.Len(t, c.usable(claims, newClaimsView(c.view), c.clock.Now().Add(freshDirectoryTimeout)), 1)
}
