package bergamotrelay_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestRelay(t *testing.T) { bergamottest.Run(t, "relay") }
