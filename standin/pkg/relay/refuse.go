package relay

import (
	"net"
	"time"
)

// reopenInterval is the interval at which a relay that refuses connections tries its target.
const reopenInterval = 10 * time.Millisecond

func (r *Relay) current() net.Listener {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener
}

// refuse closes the listener, after which connections are refused.
func (r *Relay) refuse() {
	_ = r.current().Close()
}

// reopen listens again once the target accepts connections; it returns false when the relay is closed.
func (r *Relay) reopen() bool {
	for r.ctx.Err() == nil {
		if r.isTargetUp() && r.listen() {
			return true
		}
		select {
		case <-r.ctx.Done():
		case <-r.clock.After(reopenInterval):
		}
	}
	return false
}

func (r *Relay) isTargetUp() bool {
	var dialer net.Dialer
	target, err := dialer.DialContext(r.ctx, "tcp", r.settings.Target)
	if err != nil {
		return false
	}
	_ = target.Close()
	return true
}

func (r *Relay) listen() bool {
	var config net.ListenConfig
	listener, err := config.Listen(r.ctx, "tcp", r.address)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener = listener
	return true
}
