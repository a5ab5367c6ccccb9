package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/settings"
)

// pollInterval is how often the files are looked at.
const pollInterval = 5 * time.Second

// Source holds the key pair and the authorities of one address; it is safe for concurrent use.
type Source struct {
	common  *common.Common
	files   settings.TLS
	current atomic.Pointer[material]
}

// material is what the files held when they were read.
type material struct {
	pair     tls.Certificate
	trust    *x509.CertPool // nil when none is set
	versions [3]version
}

// version tells one state of a file from another.
type version struct {
	size     int64
	modified time.Time
}

// New reads the files; the error names the one that is wrong.
func New(c *common.Common, files settings.TLS) (*Source, error) {
	source := &Source{common: c.Prefixed("certificate"), files: files}
	if err := source.reload(); err != nil {
		return nil, err
	}
	return source, nil
}

// Serve reads the files again whenever they change, until the context ends; files that cannot be used leave the old ones in use.
func (s *Source) Serve(ctx context.Context) {
	s.common.Every(ctx, pollInterval, s.Refresh)
}

// Refresh reads the files again if they changed since they were last read.
func (s *Source) Refresh() {
	versions, err := s.versions()
	if err == nil && versions == s.current.Load().versions {
		return
	}
	logger := s.common.Log.WithField("certificate", s.files.Cert)
	if err := s.reload(); err != nil {
		logger.WithError(err).Warn("cannot read the changed files; the old ones stay in use")
		return
	}
	logger.Info("read the changed files")
}

// Server returns the configuration of a listener: with authorities, clients must show a certificate of theirs.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.current.Load()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{current.pair}}
			if current.trust != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = current.trust
			}
			return config, nil
		},
	}
}

// Client returns the configuration of one new connection to another host.
func (s *Source) Client() *tls.Config {
	current := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.pair},
		RootCAs:      current.trust,
	}
}

func (s *Source) reload() error {
	versions, err := s.versions()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return errors.Wrapf(err, "key pair %s and %s", s.files.Cert, s.files.Key)
	}
	trust, err := s.readTrust()
	if err != nil {
		return err
	}
	s.current.Store(&material{pair: pair, trust: trust, versions: versions})
	return nil
}

func (s *Source) readTrust() (*x509.CertPool, error) {
	if s.files.Trust == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(s.files.Trust)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errors.Errorf("%s holds no certificate in PEM form", s.files.Trust)
	}
	return pool, nil
}

func (s *Source) versions() ([3]version, error) {
	var versions [3]version
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.Trust} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return versions, errors.WithStack(err)
		}
		versions[i] = version{size: info.Size(), modified: info.ModTime()}
	}
	return versions, nil
}
