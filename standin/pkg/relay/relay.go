package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/standin/pkg/control"
)

// Settings of one relay.
type Settings struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // host:port
	Target string `json:"target"` // host:port
	// Mirrors has the relay refuse connections while its target does.
	Mirrors bool `json:"mirrors,omitempty"`
}

// Faults of a relay.
type Faults struct {
	Cut    bool              `json:"cut,omitempty"`    // closes every connection, old and new
	Freeze bool              `json:"freeze,omitempty"` // holds all bytes back, and lets them go at its end
	Delay  jsontime.Duration `json:"delay,omitempty"`  // one way
}

// Relay forwards connections.
type Relay struct {
	clock    clockwork.Clock
	settings Settings
	faults   *control.Switch[Faults]
	address  string
	mu       sync.Mutex
	listener net.Listener // closed while connections are refused
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// New starts a relay; call Close to end it.
func New(clock clockwork.Clock, settings Settings) (*Relay, error) {
	ctx, stop := context.WithCancel(context.Background())
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", settings.Listen)
	if err != nil {
		stop()
		return nil, errors.Wrapf(err, "cannot listen on %s", settings.Listen)
	}
	relay := &Relay{
		clock:    clock,
		settings: settings,
		faults:   control.New[Faults](),
		address:  listener.Addr().String(),
		listener: listener,
		ctx:      ctx,
		stop:     stop,
	}
	relay.running.Add(1)
	go relay.accept()
	return relay, nil
}

// Name returns the relay's name.
func (r *Relay) Name() string {
	return r.settings.Name
}

// Address returns the host and port that the relay listens on.
func (r *Relay) Address() string {
	return r.address
}

// Faults returns the switch of the relay's faults.
func (r *Relay) Faults() *control.Switch[Faults] {
	return r.faults
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.stop()
	r.refuse()
	r.running.Wait()
}

func (r *Relay) accept() {
	defer r.running.Done()
	for {
		caller, err := r.current().Accept()
		if err != nil {
			if !r.reopen() {
				return
			}
			continue
		}
		r.running.Add(1)
		go r.forward(caller)
	}
}

// forward joins a caller to the target until either end closes or the relay is cut.
func (r *Relay) forward(caller net.Conn) {
	defer r.running.Done()
	defer func() { _ = caller.Close() }()
	if r.faults.Get().Cut {
		return
	}
	var dialer net.Dialer
	target, err := dialer.DialContext(r.ctx, "tcp", r.settings.Target)
	if err != nil {
		if r.settings.Mirrors && errors.Is(err, syscall.ECONNREFUSED) {
			r.refuse()
		}
		return
	}
	defer func() { _ = target.Close() }()
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var pipes sync.WaitGroup
	pipes.Add(2)
	go r.pipe(ctx, cancel, &pipes, caller, target)
	go r.pipe(ctx, cancel, &pipes, target, caller)
	r.waitForCut(ctx)
	_ = caller.Close()
	_ = target.Close()
	pipes.Wait()
}

func (r *Relay) waitForCut(ctx context.Context) {
	for {
		faults, changed := r.faults.Watch()
		if faults.Cut {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// pipe moves bytes one way, each chunk after the delay.
func (r *Relay) pipe(ctx context.Context, cancel context.CancelFunc, done *sync.WaitGroup, from io.Reader, to io.Writer) {
	defer done.Done()
	defer cancel()
	chunks := make(chan chunk, chunksInFlight)
	done.Add(1)
	go func() {
		defer done.Done()
		defer cancel()
		r.deliver(ctx, chunks, to)
	}()
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			due := r.clock.Now().Add(r.faults.Get().Delay.Std())
			select {
			case chunks <- chunk{data: buffer[:count], due: due}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}
