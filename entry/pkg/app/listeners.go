package app

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/certificate"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/inflow"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/api"
)

// listeners are the daemon's open addresses and the TLS files that they use.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
	sources  []*certificate.Source
	toPeers  peer.TLSSource // nil for plain TCP

	callerGate, operatorGate, peerGate *inflow.Gate
}

// listen opens the daemon's addresses; the error names the setting that is wrong.
func listen(c *common.Common) (*listeners, error) {
	opened := openGates(c.Settings)
	for _, wanted := range []struct {
		key     string
		address string
		files   settings.TLS
		listen  func(ctx context.Context, address string) (net.Listener, error)
		into    *net.Listener
	}{
		{"caller", c.Settings.Caller.Listen, c.Settings.Caller.TLS, opened.callerGate.Listen, &opened.caller},
		{"operator", c.Settings.Operator.Listen, c.Settings.Operator.TLS, opened.operatorGate.Listen, &opened.operator},
		{"peer", c.Settings.Peer.Listen, c.Settings.Peer.TLS, opened.peerGate.Listen, &opened.peer},
	} {
		source, err := opened.source(c, wanted.files)
		if err != nil {
			return nil, errors.Errorf("%s.tls: %s", wanted.key, err)
		}
		listener, err := wanted.listen(context.Background(), wanted.address)
		if err != nil {
			return nil, errors.Errorf("%s.listen: %s", wanted.key, err)
		}
		*wanted.into = listener
		if source != nil {
			*wanted.into = tls.NewListener(listener, source.Server())
		}
		if source != nil && wanted.key == "peer" {
			opened.toPeers = source
		}
	}
	return opened, nil
}

// operatorConnections bounds those of operators and probes, who may also hold half as many bytes as callers.
const operatorConnections = 64

// openGates returns the gates of the addresses.
func openGates(s *settings.Settings) *listeners {
	clock := clockwork.NewRealClock()
	memory := int64(s.Limits.Memory) << 20
	operators := inflow.Default(api.MaxBodyBytes, s.Clients.HeadTime.Std()).For(memory/2, s.Limits.Descriptors)
	operators.Connections = operatorConnections
	return &listeners{
		callerGate:   inflow.New(s.Clients.For(memory, s.Limits.Descriptors), clock),
		operatorGate: inflow.New(operators, clock),
		peerGate:     inflow.NewForMessages(s.Peers.For(memory, s.Limits.Descriptors), clock),
	}
}

// source returns the files of one address, or nil if none are named.
func (l *listeners) source(c *common.Common, files settings.TLS) (*certificate.Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	source, err := certificate.New(c, files)
	if err != nil {
		return nil, err
	}
	l.sources = append(l.sources, source)
	return source, nil
}
