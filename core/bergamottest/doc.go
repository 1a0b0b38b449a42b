// Package bergamottest registers test tables with ginkgo.
package bergamottest
