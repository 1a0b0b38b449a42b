package bergamotcommand

import (
	"bytes"
	"os"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotsetting"
)

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Settings files or bundles."`
}

// Run prints every fault of every file.
func (c *checkCommand) Run(s *streams) (err error) {
	for _, file := range c.Files {
		text, readErr := os.ReadFile(file)
		if readErr != nil {
			return readErr
		}
		if checkErr := checkText(file, text); checkErr != nil {
			s.printf("%s\n", checkErr)
			err = errFaults
			continue
		}
		s.printf("%s: ok\n", file)
	}
	return err
}

// checkText takes a document with a [bundle] section for a bundle and any other for settings.
func checkText(file string, text []byte) (err error) {
	if bytes.HasPrefix(text, []byte("[bundle]")) || bytes.Contains(text, []byte("\n[bundle]")) {
		_, err = bergamotbundle.Parse(file, text)
		return err
	}
	_, err = bergamotsetting.Parse(file, text)
	return err
}
