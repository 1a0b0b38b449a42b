package bergamottest

import (
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotrequest"
)

// ExpectRefusal expects that an error is a refusal for a reason and tells whether the request ran.
func ExpectRefusal(err error, reason bergamotrequest.Reason, run bergamotrequest.RunState) {
	gomega.ExpectWithOffset(1, err).To(gomega.HaveOccurred())
	refusal := bergamotrequest.AsRefusal(err)
	gomega.ExpectWithOffset(1, refusal.Reason()).To(gomega.Equal(reason))
	gomega.ExpectWithOffset(1, refusal.RunState()).To(gomega.Equal(run))
}
