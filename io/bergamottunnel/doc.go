// Package bergamottunnel carries connections to runners over another entry. The entry that needs one asks a helper with
// "GET /tunnel?to=ADDRESS"; after status 101 its bytes go to the runner unchanged, and the runner's come back in frames whose last
// one says how the runner's connection ended. Without that, the end of a helper would look like the end of an answer.
package bergamottunnel
