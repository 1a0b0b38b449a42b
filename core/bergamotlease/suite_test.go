package bergamotlease_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestLease(t *testing.T) { bergamottest.Run(t, "lease") }
