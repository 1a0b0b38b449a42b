package bergamotcapacity_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestCapacity(t *testing.T) { bergamottest.Run(t, "capacity") }
