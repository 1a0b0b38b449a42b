package bergamotconfig_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestConfig(t *testing.T) { bergamottest.Run(t, "config") }
