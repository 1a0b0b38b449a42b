package bergamotaccount

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestAccount(t *testing.T) { bergamottest.Run(t, "account") }
