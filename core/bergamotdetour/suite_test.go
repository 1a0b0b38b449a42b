package bergamotdetour_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestDetour(t *testing.T) { bergamottest.Run(t, "detour") }
