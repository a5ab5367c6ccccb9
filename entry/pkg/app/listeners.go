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
)

// listeners are the daemon's open addresses and the TLS files that they use.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
	sources  []*certificate.Source
	toPeers  peer.TLSSource // nil for plain TCP
	gate     *inflow.Gate   // of caller
}

// listen opens the daemon's addresses; the error names the setting that is wrong.
func listen(c *common.Common) (*listeners, error) {
	limits := c.Settings.Limits
	opened := &listeners{gate: inflow.New(c.Settings.Clients.For(int64(limits.Memory)<<20, limits.Descriptors), clockwork.NewRealClock())}
	for _, wanted := range []struct {
		key     string
		address string
		files   settings.TLS
		into    *net.Listener
	}{
		{"caller", c.Settings.Caller.Listen, c.Settings.Caller.TLS, &opened.caller},
		{"operator", c.Settings.Operator.Listen, c.Settings.Operator.TLS, &opened.operator},
		{"peer", c.Settings.Peer.Listen, c.Settings.Peer.TLS, &opened.peer},
	} {
		source, err := opened.source(c, wanted.files)
		if err != nil {
			return nil, errors.Errorf("%s.tls: %s", wanted.key, err)
		}
		listen := listenPlain
		if wanted.into == &opened.caller {
			listen = opened.gate.Listen
		}
		listener, err := listen(context.Background(), wanted.address)
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

func listenPlain(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
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
