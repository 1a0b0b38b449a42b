package bergamotengine_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestEngine(t *testing.T) { bergamottest.Run(t, "engine") }
