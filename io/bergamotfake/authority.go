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

// Authority signs certificates of entries and writes them to files.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// certificateLife is how long certificates of tests and demo are valid.
const certificateLife = 24 * time.Hour

// NewAuthority returns a new authority whose files are in dir.
func NewAuthority(dir string) (a *Authority, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fake"}, NotAfter: time.Now().Add(certificateLife),
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

// CA returns the file of the authority's certificate.
func (a *Authority) CA() string { return filepath.Join(a.dir, "ca.pem") }

// Issue writes a new key and a certificate with that DNS name and returns their files.
func (a *Authority) Issue(name string) (cert, key string, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(certificateLife),
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
