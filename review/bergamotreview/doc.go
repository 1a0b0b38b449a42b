// Command bergamotreview runs one case of the review: it starts an entry as a separate process, plays the platform, the
// runners and the callers around it on loopback addresses, and checks one rule by what these have seen.
package main
