package bergamotfilter_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestFilter(t *testing.T) { bergamottest.Run(t, "filter") }
