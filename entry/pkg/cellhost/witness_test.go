package cellhost

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// noNotices is a notifier without witnesses.
type noNotices struct{}

// Notify implements StartNotifier.
func (noNotices) Notify([]cell.LateStart) {}

// blockedNotices is a notifier whose notices are written once the test closes the channel.
type blockedNotices struct {
	notified chan []cell.LateStart
	written  chan struct{}
}

// Notify implements StartNotifier.
func (n *blockedNotices) Notify(starts []cell.LateStart) {
	n.notified <- starts
	<-n.written
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

// TestStartIsSentOnceItsNoticesAreWritten guards against a start that is on no other host's record when its keeper fails right
// after it.
func TestStartIsSentOnceItsNoticesAreWritten(t *testing.T) {
	f := newKeeperFixture(t)
	notices := &blockedNotices{notified: make(chan []cell.LateStart, 1), written: make(chan struct{})}
	f.keeper.notifier = notices
	sent := f.clock.Now().UnixNano()
	f.startOne(t)
	require.Equal(t, []cell.LateStart{{Task: "j.0", Worker: "w", Number: 1, Sent: sent, Known: maxCallDelay}}, <-notices.notified)
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, f.worker.started())
	close(notices.written)
	require.Eventually(t, func() bool { return len(f.worker.started()) == 1 }, 5*time.Second, time.Millisecond)
}

// handshakes has a client begin each connection with a handshake.
type handshakes struct{}

// Client implements peer.TLSSource.
func (handshakes) Client() *tls.Config {
	return &tls.Config{ServerName: "b", MinVersion: tls.VersionTLS13}
}

// TestStartWaitsForItsNoticesOnlyBriefly guards against starts that wait for a host which cannot be reached.
func TestStartWaitsForItsNoticesOnlyBriefly(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0") // no handshake is answered
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	f := newWitnessFixture(t, listener.Addr().String(), peer.NewClient(handshakes{}))
	notified := make(chan struct{})
	go func() {
		f.witness.Notify(f.starts)
		close(notified)
	}()
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
	select {
	case <-notified:
		require.FailNow(t, "the notice cannot be written")
	default:
	}
	f.clock.Advance(noticeTimeout)
	<-notified
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
		for _, witness := range selectWitnesses(view, "self", north) {
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
	require.ElementsMatch(t, []string{"south-keeper", "south"}, names(), "there is nobody else in the failure domain")
}

// TestWitnessReportsStartsOfAFailedHost guards against unsettled starts that nobody reports once their keeper has failed, also if
// the notice is read after that.
func TestWitnessReportsStartsOfAFailedHost(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.SetObservers(c.keeper, c.keeper)
	notify := func(task string) {
		notice := &peer.StartsNotice{Host: "b", Incarnation: "1", Starts: []cell.LateStart{{Task: task, Worker: "w", Number: 1, Sent: 7, Known: time.Minute}}}
		_, err := c.keeper.serveNotice(t.Context(), notice)
		require.NoError(t, err)
	}
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	notify("answered")
	c.clock.Advance(viewInterval)
	heartbeat := heartbeatOf(c, "b", "1")
	heartbeat.StartsReportedUntil = 7
	members.handleHeartbeat(heartbeat)
	require.True(t, c.board.View().Hosts["b"].WitnessesStarts)
	notify("j.0")
	require.Empty(t, members.ownHeartbeat("c").LateStarts)
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	reports := members.ownHeartbeat("c").LateStarts
	require.Len(t, reports, 1)
	require.Equal(t, "j.0", reports[0].Task)
	notify("j.1")
	require.Len(t, members.ownHeartbeat("c").LateStarts, 2, "of an earlier process")
}

// witnessFixture is a witness controller with one witness.
type witnessFixture struct {
	witness *WitnessController
	clock   *clockwork.FakeClock
	starts  []cell.LateStart
}

func newWitnessFixture(t *testing.T, address string, client *peer.Client) *witnessFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	c := &common.Common{Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Clock: clock, Incarnation: "1"}
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	board := NewBoard()
	member := blackboard.Member{Name: "b", Address: address, FailureDomain: north, Alive: true}
	board.view.Store(&View{Hosts: map[string]PeerState{"b": {Member: member, HeartbeatPeer: true, WitnessesStarts: true}}})
	return &witnessFixture{
		witness: NewWitnessController(c, Options{Name: "a", FailureDomain: north, SuspectTimeout: 20 * time.Second}, board, client),
		clock:   clock,
		starts:  []cell.LateStart{{Task: "j.0", Worker: "w", Number: 1, Sent: 7, Known: time.Minute}},
	}
}

// TestStartsDoNotWaitForTheAnswersOfTheirNotices guards against starts that take a round trip to another host longer.
func TestStartsDoNotWaitForTheAnswersOfTheirNotices(t *testing.T) {
	read, answer := make(chan *peer.StartsNotice, 1), make(chan struct{})
	server := peer.NewServer()
	peer.Handle(server, peer.MethodStarts, func(_ context.Context, notice *peer.StartsNotice) (*peer.StartsNoticed, error) {
		read <- notice
		<-answer
		return &peer.StartsNoticed{}, nil
	})
	f := newWitnessFixture(t, serveHeartbeats(t, server), peer.NewClient(nil))
	f.witness.Notify(f.starts)
	require.Equal(t, &peer.StartsNotice{Host: "a", Incarnation: "1", Starts: f.starts}, <-read)
	close(answer)
	f.witness.board.view.Store(&View{})
	f.witness.Notify(f.starts) // there is no witness
}

// BenchmarkSelectWitnesses reports the cost of a selection, one of which is made for each view in which tasks start.
func BenchmarkSelectWitnesses(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(strconv.Itoa(hosts), func(b *testing.B) {
			fleet := newFleet(hosts)
			for name, state := range fleet.view.Hosts {
				state.HeartbeatPeer, state.WitnessesStarts = true, true
				fleet.view.Hosts[name] = state
			}
			for b.Loop() {
				require.Len(b, selectWitnesses(fleet.view, "host005", fleetDomain(0)), maxWitnesses)
			}
		})
	}
}
