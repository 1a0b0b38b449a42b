package bergamotrate

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestRate(t *testing.T) { bergamottest.Run(t, "rate") }
