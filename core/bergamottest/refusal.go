package bergamottest

import (
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotrequest"
)

// ExpectRefusal expects err to be a refusal with the given reason and run state.
func ExpectRefusal(err error, reason bergamotrequest.Reason, run bergamotrequest.RunState) {
	gomega.ExpectWithOffset(1, err).To(gomega.HaveOccurred())
	refusal := bergamotrequest.AsRefusal(err)
	gomega.ExpectWithOffset(1, refusal.Reason()).To(gomega.Equal(reason))
	gomega.ExpectWithOffset(1, refusal.RunState()).To(gomega.Equal(run))
}
