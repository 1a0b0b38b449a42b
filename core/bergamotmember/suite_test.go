package bergamotmember_test

import (
	"testing"

	"bergamotspur/core/bergamottest"
)

func TestMember(t *testing.T) { bergamottest.Run(t, "member") }
