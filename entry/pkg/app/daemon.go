package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/burn"
	"chervilusher.dev/entry/pkg/caller"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/controllers"
	"chervilusher.dev/entry/pkg/hostlist"
	"chervilusher.dev/entry/pkg/inflow"
	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/entry/pkg/minion"
	"chervilusher.dev/entry/pkg/operator"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/entry/pkg/ticket"
	"chervilusher.dev/entry/pkg/worker"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/logservice"
	"chervilusher.dev/lib/publish"
)

const (
	// incarnationLength is how many hexadecimal digits tell processes apart.
	incarnationLength = 16
	// platformTimeout bounds one call to the platform, long polls included.
	platformTimeout = 15 * time.Second
	// idleConnections bounds the unused connections to one back end.
	idleConnections = 64
	// idleConnectionTimeout is how long an unused connection to a back end is kept.
	idleConnectionTimeout = 90 * time.Second
)

// Daemon is one entry host's process.
type Daemon struct {
	common      *common.Common
	board       *blackboard.Board
	listeners   *listeners
	callers     *http.Server
	operators   *http.Server
	peers       *peer.Server
	peerClient  *peer.Client
	dispatcher  *controllers.DispatchController
	leases      *controllers.LeaseController
	submissions *controllers.SubmissionController
	handovers   *controllers.HandoverController
	drains      *drainRequest
	services    []service
}

// service is a part that runs until the context ends.
type service interface {
	Serve(ctx context.Context)
}

// Listen builds the daemon and opens its addresses; it does not serve yet.
func Listen(loaded *settings.Settings, logTo io.Writer) (*Daemon, error) {
	c := newCommon(loaded, logTo)
	opened, err := listen(c)
	if err != nil {
		return nil, err
	}
	return build(c, opened), nil
}

func newCommon(loaded *settings.Settings, logTo io.Writer) *common.Common {
	var handler log.Handler = common.NewLineHandler(logTo)
	if loaded.Log.Format == "json" {
		handler = json.New(logTo)
	}
	logger := &log.Logger{Handler: common.NewPrefixHandler(handler), Level: log.MustParseLevel(loaded.Log.Level)}
	incarnation := strings.ReplaceAll(uuid.NewString(), "-", "")[:incarnationLength]
	return &common.Common{
		Log:         logger.WithField("host", loaded.Name),
		Settings:    loaded,
		Clock:       clockwork.NewRealClock(),
		Incarnation: incarnation,
	}
}

func build(c *common.Common, opened *listeners) *Daemon {
	board := blackboard.New()
	engine := newEngine(&board.Dispatch, c.Settings)
	entries := ledger.New(ledger.Limits{
		Window:  c.Settings.Ticket.Window.Std(),
		Keep:    c.Settings.Ticket.Keep.Std(),
		Entries: c.Settings.Ticket.Entries,
		Bytes:   c.Settings.Ticket.Bytes,
	}, c.Clock.Now())
	tickets := ticket.New(c.Settings.Ticket.Key, c.Settings.Name, c.Settings.FailureDomain, c.Incarnation, c.Settings.Ticket.Window.Std(), c.Clock)

	platformClient := &http.Client{Timeout: platformTimeout}
	workers := worker.New(newBackendClient(0))
	peerClient := peer.NewClient(opened.toPeers)
	peerServer := peer.NewServer()
	peerServer.SetLogger(c.Prefixed("peer").Log)

	dispatcher := controllers.NewDispatchController(c, board, engine, minion.New(newBackendClient), workers)
	inForce := func() *configuration.State { return board.Configuration.Load().State }
	recorder := burn.New(c.Settings.Name, c.Clock, inForce)
	submissions := controllers.NewSubmissionController(c, board, engine, entries, tickets, dispatcher, recorder)
	handovers := controllers.NewHandoverController(c, board, peerClient, peerServer)
	routing := controllers.NewRoutingController(c, board, tickets, submissions, peerClient, handovers, peerServer)
	logClient := logservice.New(c.Settings.Platform.Log, platformClient)
	configurations := controllers.NewConfigurationController(c, board, logClient, peerClient, peerServer)
	members := controllers.NewMembersController(c, board, peerClient, peerServer, configurations)
	loans := controllers.NewLendingController(c, board, engine, dispatcher, peerClient, peerServer)
	lender := controllers.NewSlotAllocator(c, board, loans)
	leases := controllers.NewLeaseController(c, board, workers, dispatcher, controllers.LeaseDemandOf(lender))
	backends := controllers.NewBackendsController(c, board, engine, lender, dispatcher)
	members.Observe(backends)
	configurations.Observe(backends)
	hosts := controllers.NewHostsController(c, board, hostlist.New(c.Settings.Platform.Hosts, platformClient), peerClient, peerServer, members, backends)
	members.SetHostsReader(hosts)
	drains := newDrainRequest(submissions)
	operators := operator.New(c, board, publish.NewFrom(logClient, c.Clock, inForce), recorder, drains)

	services := []service{dispatcher, submissions, handovers, leases, hosts, configurations, members}
	if c.Settings.Policy.Lending == "loans" {
		dispatcher.OnDecision(loans.Wake)
		services = append(services, loans)
	}
	return &Daemon{
		common:      c.Prefixed("app"),
		board:       board,
		listeners:   opened,
		callers:     newHTTPServer(caller.New(c, board, tickets, routing).Handler(), opened.callerGate, caller.Refusals()),
		operators:   newHTTPServer(operators.Handler(), opened.operatorGate, http.HandlerFunc(inflow.Refuse)),
		peers:       peerServer,
		peerClient:  peerClient,
		dispatcher:  dispatcher,
		leases:      leases,
		submissions: submissions,
		handovers:   handovers,
		drains:      drains,
		services:    services,
	}
}

// Run serves until the context ends, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	var running errgroup.Group
	for _, part := range d.services {
		running.Go(func() error {
			part.Serve(serving)
			return nil
		})
	}
	for _, source := range d.listeners.sources {
		running.Go(func() error {
			source.Serve(serving)
			return nil
		})
	}
	running.Go(func() error { return d.peers.Serve(serving, d.listeners.peer) })
	running.Go(func() error { return common.ServeHTTP(d.operators, d.listeners.operator) })
	running.Go(func() error { return common.ServeHTTP(d.callers, d.listeners.caller) })
	d.common.Log.WithField("incarnation", d.common.Incarnation).Info("serving")
	select {
	case <-ctx.Done():
	case <-d.drains.asked:
	}
	d.drain()
	stopServing()
	return running.Wait()
}

// newBackendClient makes a client that opens at most so many connections to one back end; zero means no bound.
func newBackendClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			MaxConnsPerHost:     connections,
			IdleConnTimeout:     idleConnectionTimeout,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newHTTPServer(handler http.Handler, gate *inflow.Gate, refusals http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ConnContext: inflow.WithConn}
	gate.Limit(server, refusals)
	return server
}
