package bergamotcommand

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"

	"bergamotspur/core/bergamotbundle"
)

type bundleKeygenCommand struct {
	Name string `arg:"" help:"Name of the operator."`
	File string `arg:"" help:"File for the private key; it must not exist yet."`
}

// Run writes the private key to a file that only its owner can read and prints the public key.
func (c *bundleKeygenCommand) Run(s *streams) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	text := base64.StdEncoding.EncodeToString(public)
	if _, err = bergamotbundle.ParseOperator(c.Name, text); err != nil {
		return err
	}
	if err = writeKey(c.File, private); err != nil {
		return err
	}
	s.printf("[operator %s]\nkey = %s\n", c.Name, text)
	s.printf("\nfor the first bundle, in the settings of every entry:\n[trust]\noperators = %s:%s\n", c.Name, text)
	return nil
}

// writeKey never overwrites a file, since a lost private key cannot be restored.
func writeKey(file string, key ed25519.PrivateKey) (err error) {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("the key file cannot be created: %w", err)
	}
	data, err := encodeKey(key)
	if err == nil {
		_, err = f.Write(data)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
