package bergamotrelay

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestRelay(t *testing.T) { bergamottest.Run(t, "relay") }
