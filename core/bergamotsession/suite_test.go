package bergamotsession_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestSession(t *testing.T) { bergamottest.Run(t, "session") }
