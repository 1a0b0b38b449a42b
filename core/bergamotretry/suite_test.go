package bergamotretry_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestRetry(t *testing.T) { bergamottest.Run(t, "retry") }
