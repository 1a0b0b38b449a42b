package bergamotsuspect_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestSuspect(t *testing.T) { bergamottest.Run(t, "suspect") }
