package bergamotreplication_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestReplication(t *testing.T) { bergamottest.Run(t, "replication") }
