package bergamotlayout_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestLayout(t *testing.T) { bergamottest.Run(t, "layout") }
