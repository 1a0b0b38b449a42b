package bergamotcommand

import (
	"bytes"
	"os"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotsetting"
	bergamotplatform "bergamotspur/platform"
)

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Settings files or bundles."`
}

// Run prints all faults of all files.
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

// checkText parses a document with a [bundle] section as a bundle, one with a nodeName key as settings of the platform
// and any other as settings of an entry.
func checkText(file string, text []byte) (err error) {
	if bytes.HasPrefix(text, []byte("[bundle]")) || bytes.Contains(text, []byte("\n[bundle]")) {
		_, err = bergamotbundle.Parse(file, text)
		return err
	}
	if bytes.Contains(text, []byte("nodeName:")) {
		return bergamotplatform.CheckSettings(text)
	}
	_, err = bergamotsetting.Parse(file, text)
	return err
}
