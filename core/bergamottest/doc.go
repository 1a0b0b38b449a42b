// Package bergamottest provides test tables for ginkgo, fixtures and dependencies that do nothing.
package bergamottest
