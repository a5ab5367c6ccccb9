package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/certificate"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/settings"
)

// authority signs the certificates of a test.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &authority{t: t, key: key, certificate: parsed, serial: 1}
}

// issue writes a key pair for the loopback address, signed by the authority, and the authority itself.
func (a *authority) issue(directory string) settings.TLS {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "host"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	files := settings.TLS{
		Cert:  filepath.Join(directory, "cert.pem"),
		Key:   filepath.Join(directory, "key.pem"),
		Trust: filepath.Join(directory, "trust.pem"),
	}
	write(a.t, files.Cert, "CERTIFICATE", raw)
	write(a.t, files.Key, "PRIVATE KEY", private)
	write(a.t, files.Trust, "CERTIFICATE", a.certificate.Raw)
	return files
}

func write(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

func newSource(t *testing.T, files settings.TLS) *certificate.Source {
	t.Helper()
	c := &common.Common{Log: &log.Logger{Handler: discard.Default}, Settings: settings.Default(), Clock: clockwork.NewRealClock()}
	source, err := certificate.New(c, files)
	require.NoError(t, err)
	return source
}

// ping is the message of the test's one method.
type ping struct {
	Text string
}

// serve answers pings on the loopback address until the test ends.
func serve(t *testing.T, source *certificate.Source) string {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer()
	peer.Handle(server, "/ping", func(_ context.Context, request *ping) (*ping, error) { return request, nil })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, tls.NewListener(listener, source.Server())) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return listener.Addr().String()
}

func call(t *testing.T, source peer.TLSSource, address string) error {
	t.Helper()
	client := peer.NewClient(source)
	defer func() { _ = client.Close() }()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	_, err := peer.Call[ping, ping](ctx, client, address, "/ping", &ping{Text: "hello"})
	return err
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := newSource(t, ours.issue(t.TempDir()))
	address := serve(t, server)
	require.NoError(t, call(t, newSource(t, ours.issue(t.TempDir())), address))
	require.Error(t, call(t, newSource(t, theirs.issue(t.TempDir())), address), "another authority's host")
	require.Error(t, call(t, nil, address), "plain TCP")

	stranger := theirs.issue(t.TempDir())
	write(t, stranger.Trust, "CERTIFICATE", ours.certificate.Raw)
	require.Error(t, call(t, newSource(t, stranger), address), "it trusts us, but we do not trust it")
}

func TestChangedFilesAreUsedWithoutARestart(t *testing.T) {
	ours := newAuthority(t)
	directory := t.TempDir()
	server := newSource(t, ours.issue(directory))
	address := serve(t, server)
	files := ours.issue(t.TempDir())
	before := serialAt(t, newSource(t, files), address)

	ours.issue(directory)
	server.Refresh()
	after := serialAt(t, newSource(t, files), address)
	require.NotEqual(t, before, after)

	require.NoError(t, os.WriteFile(filepath.Join(directory, "cert.pem"), []byte("half a file"), 0o600))
	server.Refresh()
	require.Equal(t, after, serialAt(t, newSource(t, files), address))
}

// serialAt returns the serial number of the certificate that a listener shows.
func serialAt(t *testing.T, source *certificate.Source, address string) int64 {
	t.Helper()
	dialer := &tls.Dialer{Config: source.Client()}
	connection, err := dialer.DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	return connection.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestNewNamesTheWrongFile(t *testing.T) {
	c := &common.Common{Log: &log.Logger{Handler: discard.Default}, Settings: settings.Default(), Clock: clockwork.NewRealClock()}
	files := newAuthority(t).issue(t.TempDir())
	files.Trust = filepath.Join(t.TempDir(), "absent.pem")
	_, err := certificate.New(c, files)
	require.ErrorContains(t, err, "absent.pem")
	files.Trust = files.Key
	_, err = certificate.New(c, files)
	require.ErrorContains(t, err, "holds no certificate")
}
