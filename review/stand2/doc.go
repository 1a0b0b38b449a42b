// Command stand2 has the stand-ins of the review of issue 50 and the cases that are scripts: a store, runners, a balancer and callers, as the
// users' pages describe them. Each case starts the entries and the runners as separate processes, on loopback addresses only.
package main
