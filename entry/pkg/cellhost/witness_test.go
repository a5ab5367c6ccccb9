package cellhost

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// heldNotices notes starts of which other hosts are told, and the notices are written once the test says so.
type heldNotices struct {
	noted   chan []cell.SentStart
	written chan struct{}
}

func newHeldNotices() *heldNotices {
	return &heldNotices{noted: make(chan []cell.SentStart, 1), written: make(chan struct{})}
}

// Notify implements StartNotifier.
func (n *heldNotices) Notify(starts []cell.SentStart) <-chan struct{} {
	n.noted <- starts
	return n.written
}

// startOne has the keeper start one task.
func (f *keeperFixture) startOne(t *testing.T) {
	t.Helper()
	f.keeper.cell.HandleReport(f.loop.worker, &cell.Report{Incarnation: 1, Clock: time.Second}, f.clock.Now(), f.clock.Now())
	now := f.clock.Now()
	job := &cell.Job{ID: "j", Group: "desk", Attempts: 1, Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	job.Tasks = []*cell.Task{{Job: job, Name: "j.0", Demand: cell.Resources{Cores: 1000, Memory: 1}, Estimate: time.Second}}
	f.keeper.apply(func(now time.Time) cell.Effects { return f.keeper.cell.Submit(job, now) })
}

// TestStartIsSentOnceOthersWereToldOfIt guards against a start of which nobody knows when its keeper is lost right after it.
func TestStartIsSentOnceOthersWereToldOfIt(t *testing.T) {
	f := newKeeperFixture(t)
	notices := newHeldNotices()
	f.keeper.SetWitnesses(notices)
	sent := f.clock.Now().UnixNano()
	f.startOne(t)
	require.Equal(t, []cell.SentStart{{Task: "j.0", Worker: "w", Number: 1, Sent: sent}}, <-notices.noted)
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, f.worker.started())
	close(notices.written)
	require.Eventually(t, func() bool { return len(f.worker.started()) == 1 }, 5*time.Second, time.Millisecond)
}

// TestStartWaitsForItsNoticesOnlyBriefly guards against starts that are held up by a host which cannot be reached.
func TestStartWaitsForItsNoticesOnlyBriefly(t *testing.T) {
	f := newKeeperFixture(t)
	notices := newHeldNotices()
	f.keeper.SetWitnesses(notices)
	f.startOne(t)
	<-notices.noted
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.clock.Advance(noticeDelay)
	require.Eventually(t, func() bool { return len(f.worker.started()) == 1 }, 5*time.Second, time.Millisecond)
}

// TestWitnessesSurviveTheLossOfAFailureDomain guards against starts that only hosts know of which are lost with their keeper.
func TestWitnessesSurviveTheLossOfAFailureDomain(t *testing.T) {
	view := &View{Hosts: map[string]PeerState{}}
	add := func(name, domain string, keeps bool, change func(state *PeerState)) {
		state := PeerState{Member: blackboard.Member{Name: name, FailureDomain: domain, Alive: true}, HeartbeatPeer: true, WitnessesStarts: true}
		if keeps {
			state.Claims = []peer.Claim{{}}
		}
		change(&state)
		view.Hosts[name] = state
	}
	names := func() (names []string) {
		for _, witness := range chooseWitnesses(view, "self", north) {
			names = append(names, witness.Name)
		}
		return names
	}
	as := func(*PeerState) {}
	add("self", north, true, as)
	require.Empty(t, names())
	add("away", south, true, func(state *PeerState) { state.Alive = false })
	add("leaving", south, true, func(state *PeerState) { state.Leaving = true })
	add("unheard", south, true, func(state *PeerState) { state.HeartbeatPeer = false })
	add("earlier", south, true, func(state *PeerState) { state.WitnessesStarts = false })
	require.Empty(t, names())
	add("north", north, false, as)
	require.Equal(t, []string{"north"}, names())
	add("also-north", north, false, as)
	require.ElementsMatch(t, []string{"north", "also-north"}, names(), "there is nobody elsewhere")
	add("south", south, false, as)
	require.Len(t, names(), maxWitnesses)
	require.Equal(t, "south", names()[1])
	add("south-keeper", south, true, as)
	require.Equal(t, "south-keeper", names()[1])
	add("north-keeper", north, true, as)
	require.Equal(t, []string{"north-keeper", "south-keeper"}, names())
	delete(view.Hosts, "north")
	delete(view.Hosts, "also-north")
	delete(view.Hosts, "north-keeper")
	require.Equal(t, []string{"south-keeper", "south"}, names(), "there is nobody else in the failure domain")
}

// TestWitnessTellsOthersOfStartsOfALostHost guards against starts without an answer that are lost with their keeper, also if the
// notice is read after the loss was seen.
func TestWitnessTellsOthersOfStartsOfALostHost(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.SetObservers(c.keeper, c.keeper)
	server := peer.NewServer()
	NewWitnessController(c.common, c.options, c.board, peer.NewClient(nil), server, c.keeper)
	address := serveHeartbeats(t, server)
	notify := func(task string) {
		client := peer.NewClient(nil)
		sender := &WitnessController{common: c.common, options: Options{Name: "b", SuspectTimeout: 20 * time.Second}, client: client}
		notice := &peer.StartsNotice{Host: "b", Incarnation: "1", Starts: []cell.SentStart{{Task: task, Worker: "w", Number: 1, Sent: 7}}}
		written := make(chan struct{})
		sender.send(&PeerState{Member: blackboard.Member{Address: address}}, notice, func() { close(written) })
		<-written
		require.NoError(t, client.Close())
	}
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	notify("answered")
	c.clock.Advance(viewInterval)
	heartbeat := heartbeatOf(c, "b", "1")
	heartbeat.AnswersKnownUntil = 7
	members.handleHeartbeat(heartbeat)
	require.True(t, c.board.View().Hosts["b"].WitnessesStarts)
	notify("j.0")
	require.Empty(t, members.ownHeartbeat("c").LateStarts)
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	told := members.ownHeartbeat("c").LateStarts
	require.Len(t, told, 1)
	require.Equal(t, "j.0", told[0].Task)
	notify("j.1")
	require.Len(t, members.ownHeartbeat("c").LateStarts, 2, "of an earlier process")
}

// TestNoticesOfStartsAreWrittenToAllWitnesses guards against a start that waits for the answers of its notices.
func TestNoticesOfStartsAreWrittenToAllWitnesses(t *testing.T) {
	c, _ := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	read, answer := make(chan *peer.StartsNotice, 1), make(chan struct{})
	server := peer.NewServer()
	peer.Handle(server, peer.MethodStarts, func(_ context.Context, notice *peer.StartsNotice) (*peer.StartsNoticed, error) {
		read <- notice
		<-answer
		return &peer.StartsNoticed{}, nil
	})
	client := peer.NewClient(nil)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	witness := NewWitnessController(c.common, Options{Name: "a", FailureDomain: north, SuspectTimeout: 20 * time.Second}, c.board, client, peer.NewServer(), c.keeper)
	starts := []cell.SentStart{{Task: "j.0", Worker: "w", Number: 1, Sent: 7}}
	c.board.view.Store(&View{})
	<-witness.Notify(starts) // there is no witness
	member := blackboard.Member{Name: "b", Address: serveHeartbeats(t, server), FailureDomain: north, Alive: true}
	c.board.view.Store(&View{Hosts: map[string]PeerState{"b": {Member: member, HeartbeatPeer: true, WitnessesStarts: true}}})
	<-witness.Notify(starts)
	require.Equal(t, &peer.StartsNotice{Host: "a", Incarnation: c.common.Incarnation, Starts: starts}, <-read)
	close(answer)
}

// BenchmarkChooseWitnesses reports the cost of a choice, one of which is made for each view in which tasks start.
func BenchmarkChooseWitnesses(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(strconv.Itoa(hosts), func(b *testing.B) {
			fleet := newFleet(hosts)
			for name, state := range fleet.view.Hosts {
				state.HeartbeatPeer, state.WitnessesStarts = true, true
				fleet.view.Hosts[name] = state
			}
			for b.Loop() {
				require.Len(b, chooseWitnesses(fleet.view, "host005", fleetDomain(0)), maxWitnesses)
			}
		})
	}
}
