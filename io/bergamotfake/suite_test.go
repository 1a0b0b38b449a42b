package bergamotfake_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestFake(t *testing.T) { bergamottest.Run(t, "fake") }
