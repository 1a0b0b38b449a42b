package bergamotwire_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestWire(t *testing.T) { bergamottest.Run(t, "wire") }
