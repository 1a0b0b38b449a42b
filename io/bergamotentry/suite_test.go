package bergamotentry_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestEntry(t *testing.T) { bergamottest.Run(t, "entry") }
