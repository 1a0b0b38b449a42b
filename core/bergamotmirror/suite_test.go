package bergamotmirror_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestMirror(t *testing.T) { bergamottest.Run(t, "mirror") }
