package app

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// tlsFlags name the files for hosts that speak TLS.
type tlsFlags struct {
	Trust string `arg:"--trust,env:CHERVILUSHER_TRUST" help:"PEM file with the authorities of the hosts' certificates"`
	Cert  string `arg:"--cert,env:CHERVILUSHER_CERT" help:"PEM file with a certificate to show to hosts that ask for one"`
	Key   string `arg:"--key-file,env:CHERVILUSHER_KEY" help:"PEM file with its private key"`
}

// httpClient returns a client that trusts and shows what the files hold.
func (f *tlsFlags) httpClient() (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if f.Trust != "" {
		raw, err := os.ReadFile(f.Trust)
		if err != nil {
			return nil, errors.Wrap(err, "--trust")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(raw) {
			return nil, errors.Errorf("--trust: %s holds no certificate in PEM form", f.Trust)
		}
	}
	if (f.Cert == "") != (f.Key == "") {
		return nil, errors.New("--cert and --key-file go together")
	}
	if f.Cert != "" {
		pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return nil, errors.Wrap(err, "--cert and --key-file")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = config
	return &http.Client{Transport: transport}, nil
}
