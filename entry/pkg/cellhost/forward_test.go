package cellhost

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

func candidatesOf(rooms ...int) []forwardCandidate {
	candidates := make([]forwardCandidate, 0, len(rooms))
	for i, room := range rooms {
		domain := []string{north, south}[i%2]
		candidates = append(candidates, forwardCandidate{keeper: &PeerState{Member: blackboard.Member{Name: strconv.Itoa(i), FailureDomain: domain}}, room: room})
	}
	return candidates
}

// TestHostsThatSeeTheSameRoomSpreadTheirJobs has 34 hosts forward one job each by the same heartbeats: each keeper gets its part
// by room, whatever its failure domain, and not all jobs go to the one with the most.
func TestHostsThatSeeTheSameRoomSpreadTheirJobs(t *testing.T) {
	const hosts, rounds = 34, 200
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]float64{}
	for range hosts * rounds {
		chosen := chooseForwards(candidatesOf(39, 29, 19, 9, 1), 2, peer.RunNow, random.Float64)
		require.Len(t, chosen, maxForwards)
		require.NotEqual(t, chosen[0], chosen[1])
		counts[chosen[0].Name] += 1.0 / rounds
	}
	for name, share := range map[string]float64{"0": 0.4, "1": 0.3, "2": 0.2, "3": 0.1} {
		require.InDelta(t, share*hosts, counts[name], 1.5)
	}
	require.Zero(t, counts["4"], "it has no room for two tasks")
}

// TestNobodyIsAskedWhereNoKeeperHasRoom has all other keepers full, and refusing jobs of the queue.
func TestNobodyIsAskedWhereNoKeeperHasRoom(t *testing.T) {
	candidates := candidatesOf(1, 0)
	require.Empty(t, chooseForwards(candidates, 2, peer.RunNow, rand.Float64))
	require.Empty(t, chooseForwards(candidates, 2, peer.RunLate, rand.Float64))
	require.Len(t, chooseForwards(candidates, 2, peer.RunHere, rand.Float64), 2, "a place in their queues may still do")
	short := candidatesOf(9, 9)
	for i := range short {
		short[i].beyond = 0.3
	}
	require.Empty(t, chooseForwards(short, 2, peer.RunHere, rand.Float64))
	require.Empty(t, chooseForwards(short, 2, peer.RunLate, rand.Float64))
	require.Len(t, chooseForwards(short, 2, peer.RunNow, rand.Float64), 2, "a keeper short of room for a wide kind may have some for this job")
}

// TestRoomIsUsedOnceBetweenTwoHeartbeats forwards jobs to a keeper until those fill the room that its heartbeat reported.
func TestRoomIsUsedOnceBetweenTwoHeartbeats(t *testing.T) {
	home, _ := twoKeepers(t, "")
	state := home.board.View().Hosts["b"]
	state.Loads = []cell.Load{{Group: "g", FreeSlots: 3}}
	state.LastHeartbeat = home.common.Clock.Now()
	view := *home.board.View()
	view.Hosts["b"] = state
	home.board.view.Store(&view)
	request := &peer.RunRequest{Queue: "q", Group: "g", Tasks: make([]peer.RunTask, 2)}
	require.Len(t, home.chooseForwards(request, peer.RunNow), 1)
	home.addSent(&state, 2)
	require.Empty(t, home.chooseForwards(request, peer.RunNow))
	state.LastHeartbeat = state.LastHeartbeat.Add(DefaultHeartbeatInterval)
	later := view
	later.Hosts["b"] = state
	home.board.view.Store(&later)
	require.Len(t, home.chooseForwards(request, peer.RunNow), 1)
}

// TestKeeperLostBetweenHeartbeatAndCall forwards a job to a keeper that nobody listens for any more, beside another with room.
func TestKeeperLostBetweenHeartbeatAndCall(t *testing.T) {
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(context.Context, *peer.RunRequest) (*peer.RunResponse, error) {
		return &peer.RunResponse{Outcome: cell.Completed}, nil
	})
	home, _ := twoKeepers(t, "127.0.0.1:1")
	view := home.board.View()
	for name, address := range map[string]string{"b": "127.0.0.1:1", "c": serveOn(t, other)} {
		state := view.Hosts["b"]
		state.Name, state.Address, state.Loads = name, address, []cell.Load{{Group: "g", FreeSlots: 40}}
		view.Hosts[name] = state
	}
	for range 10 {
		response, taken := home.Forward(t.Context(), "a", home.newRequest(submissionOf(home.common.Clock)), peer.RunNow)
		require.True(t, taken)
		require.Equal(t, cell.Completed, response.Outcome, "nothing has run at the lost one")
	}
}

func refusingState(domain string, thousandth int, heard time.Time) PeerState {
	return PeerState{
		Member:        blackboard.Member{Name: domain, FailureDomain: domain, Alive: true},
		Excesses:      []peer.Excess{{Queue: "q", Beyond: 900, Refused: thousandth, RetryAfter: 1500}},
		LastHeartbeat: heard,
	}
}

// TestStaleReportsOfShortageCountLess looks at a report of a keeper that is not heard any more.
func TestStaleReportsOfShortageCountLess(t *testing.T) {
	now := time.Unix(1000, 0)
	state := refusingState(north, 800, now)
	for age, want := range map[time.Duration]float64{0: 0.8, freshReport: 0.8, 350 * time.Millisecond: 0.4, DefaultSuspectTimeout: 0, time.Hour: 0} {
		told := excessOf(&state, "q", now.Add(age))
		require.InDelta(t, want, told.refused, 0.001, age)
		require.Equal(t, 1500*time.Millisecond, told.retryAfter)
	}
	require.Zero(t, excessOf(&state, "other", now))
}

// TestHomeGoesByTheKeeperThatTakesMost has one keeper of a failure domain refuse more than the other.
func TestHomeGoesByTheKeeperThatTakesMost(t *testing.T) {
	now := time.Unix(1000, 0)
	most, least, elsewhere := refusingState(north, 900, now), refusingState(north, 300, now), refusingState(south, 0, now)
	keepers := []*PeerState{&most, &least, &elsewhere}
	require.InDelta(t, 0.3, leastRefusal(keepers, north, "q", now).fraction, 0.001, "keepers forward to other failure domains themselves")
	least.Leaving = true
	require.InDelta(t, 0.9, leastRefusal(keepers, north, "q", now).fraction, 0.001)
	require.Zero(t, leastRefusal(keepers, "west", "q", now).fraction)
	require.Zero(t, leastRefusal(nil, north, "q", now).fraction)
}

// TestHomeRefusesThePartThatItsKeeperReports counts the refusals of jobs of a home whose only keeper refuses three of five.
func TestHomeRefusesThePartThatItsKeeperReports(t *testing.T) {
	home, _ := twoKeepers(t, "")
	view := home.board.View()
	delete(view.Hosts, "a")
	state := refusingState(north, 600, home.common.Clock.Now())
	state.ClockKnown, state.Claims = true, view.Hosts["b"].Claims
	view.Hosts = map[string]PeerState{north: state}
	queue := submissionOf(home.common.Clock).Queue
	refused := 0
	for range 1000 {
		if answer := home.RefuseEarly("job", queue); answer != nil {
			require.Equal(t, cell.Refused, answer.Outcome)
			require.GreaterOrEqual(t, answer.RetryAfter, 1500*time.Millisecond)
			require.LessOrEqual(t, answer.RetryAfter, maxEarlyRetry)
			refused++
		}
	}
	require.InDelta(t, 600, refused, 80)
	home.openJobs["job"] = nil
	for range 50 {
		require.Nil(t, home.RefuseEarly("job", queue), "it runs for an earlier request, so that it must not be said never to run")
	}
}

// TestHeartbeatCarriesWhatCannotStart checks that a keeper's excess reaches the homes, and that it bounds their refusals.
func TestHeartbeatCarriesWhatCannotStart(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	require.Empty(t, members.ownHeartbeat("b").Excesses)
	c.keeper.options.Shares = true
	c.keeper.rates.addOffered(&cell.Job{Queue: "q", Group: "g", Tasks: make([]*cell.Task, 100)}, c.clock.Now())
	c.keeper.rates.addRefused("q", 100, time.Second)
	c.keeper.tick()
	require.Equal(t, "q", members.ownHeartbeat("b").Excesses[0].Queue)
	heartbeat := heartbeatOf(c, "b", "1")
	heartbeat.Excesses = []peer.Excess{{Queue: "q", Beyond: 9000, Refused: -5, RetryAfter: 1}}
	members.handleHeartbeat(heartbeat)
	state := c.board.View().Hosts["b"]
	told := excessOf(&state, "q", c.clock.Now())
	require.InDelta(t, maxFraction, told.beyond, 0.001, "a number out of range does not stop all jobs")
	require.Zero(t, told.refused)
}

// TestJobLeavesAKeeperShortOfRoomBeforeItQueues has a job come to a keeper that cannot start all jobs of its queue, beside a keeper
// of another failure domain with room: it may queue there at once, instead of here first.
func TestJobLeavesAKeeperShortOfRoomBeforeItQueues(t *testing.T) {
	for short, want := range map[bool]peer.RunMode{false: peer.RunNow, true: peer.RunHere} {
		var modes []peer.RunMode
		other := peer.NewServer()
		peer.Handle(other, peer.MethodRun, func(_ context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
			modes = append(modes, request.Mode)
			return &peer.RunResponse{Outcome: cell.Completed}, nil
		})
		home, own := twoKeepers(t, serveOn(t, other))
		state := home.board.View().Hosts["b"]
		state.Loads = []cell.Load{{Group: "g", FreeSlots: 4}}
		home.board.View().Hosts["b"] = state
		addLeavingWorker(own)
		if short {
			own.rates.byQueue["q"] = &refusalRate{group: "g", fraction: 1}
		}
		request := home.newRequest(submissionOf(home.common.Clock))
		request.KeeperIncarnation = home.common.Incarnation
		response, err := own.Run(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, cell.Completed, response.Outcome)
		require.Equal(t, []peer.RunMode{want}, modes)
	}
}
