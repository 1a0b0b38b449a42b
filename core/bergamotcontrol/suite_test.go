package bergamotcontrol_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestControl(t *testing.T) { bergamottest.Run(t, "control") }
