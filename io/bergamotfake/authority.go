package bergamotfake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// An Authority signs certificates for entries and writes them to files.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// certificateLifetime is the validity of all certificates, which serve only tests and the demo.
const certificateLifetime = 24 * time.Hour

// NewAuthority returns an authority with a new key that keeps its files in dir.
func NewAuthority(dir string) (a *Authority, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fake"}, NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a = &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.CA(), "CERTIFICATE", der)
}

// CA returns the path of the authority's certificate.
func (a *Authority) CA() string { return filepath.Join(a.dir, "ca.pem") }

// Issue writes a new key and a certificate for the DNS name and returns the paths of both files.
func (a *Authority) Issue(name string) (cert, key string, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(certificateLifetime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", "", err
	}
	cert, key = filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key")
	return cert, key, errors.Join(writePEM(cert, "CERTIFICATE", der), writePEM(key, "PRIVATE KEY", raw))
}

func writePEM(path, kind string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)
}
