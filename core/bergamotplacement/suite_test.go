package bergamotplacement_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestPlacement(t *testing.T) { bergamottest.Run(t, "placement") }
