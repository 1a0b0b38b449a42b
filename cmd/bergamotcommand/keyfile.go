package bergamotcommand

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
)

const (
	pemType              = "PRIVATE KEY"
	forbiddenPermissions = 0o077 // any access for group or others
)

// encodeKey returns the key as a PEM block in PKCS #8 format.
func encodeKey(key ed25519.PrivateKey) ([]byte, error) {
	data, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: data}), nil
}

// readKey returns the private key in a file. It refuses a file that others than its owner can access.
func readKey(file string) (key ed25519.PrivateKey, err error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if mode := info.Mode().Perm(); mode&forbiddenPermissions != 0 {
		return nil, fmt.Errorf("key file %s has permissions %#o: others may have read it\n"+
			"  next: make a new key if that is possible, otherwise run \"chmod 600 %s\"", file, mode, file)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, fmt.Errorf("key file %s has no PEM block %q", file, pemType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("key file %s: %w", file, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("key file %s has no Ed25519 key", file)
	}
	return key, nil
}
