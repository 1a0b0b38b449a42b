package bergamotpeer_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestPeer(t *testing.T) { bergamottest.Run(t, "peer") }
