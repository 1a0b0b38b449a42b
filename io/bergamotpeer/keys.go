package bergamotpeer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
)

// Keys names the files with which peers authenticate each other. The certificate's first DNS name is the name of the
// entry.
type Keys struct {
	Cert string // certificate in PEM
	Key  string // its private key in PEM
	CA   string // certificates in PEM that sign those of all peers
}

// Load returns the TLS configuration for both sides of a connection.
func (k Keys) Load() (cfg *tls.Config, err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "load keys") }()
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(k.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, oops.Errorf("no certificate in %s", k.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
