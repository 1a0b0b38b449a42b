package bergamotpeer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
)

// KeyFiles holds the paths of the PEM files with which entries authenticate each other. The first DNS name of the
// certificate is the name of the entry.
type KeyFiles struct {
	Cert string // certificate
	Key  string // private key of the certificate
	CA   string // certificates of the authorities that sign those of all entries
}

// Load returns the TLS configuration for clients and servers, or an error if a file cannot be read or parsed.
func (k KeyFiles) Load() (cfg *tls.Config, err error) {
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
