package bergamotcluster_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestCluster(t *testing.T) { bergamottest.Run(t, "cluster") }
