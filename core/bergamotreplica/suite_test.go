package bergamotreplica_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestReplica(t *testing.T) { bergamottest.Run(t, "replica") }
