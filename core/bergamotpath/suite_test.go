package bergamotpath_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestPath(t *testing.T) { bergamottest.Run(t, "path") }
