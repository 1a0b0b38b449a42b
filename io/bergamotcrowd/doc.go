// Package bergamotcrowd holds the overload tests: they start the program as a process of its own in front of fakes of the
// platform, send it the client loads that make a process run out of memory or descriptors, and check that it lives, stays
// within the limits of its settings and serves an ordinary request afterwards. The tests need the build tag crowd.
package bergamotcrowd
