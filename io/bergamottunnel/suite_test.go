package bergamottunnel_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestTunnel(t *testing.T) { bergamottest.Run(t, "tunnel") }
