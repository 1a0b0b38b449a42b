package bergamotload_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestLoad(t *testing.T) { bergamottest.Run(t, "load") }
