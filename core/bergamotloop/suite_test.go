package bergamotloop_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestLoop(t *testing.T) { bergamottest.Run(t, "loop") }
