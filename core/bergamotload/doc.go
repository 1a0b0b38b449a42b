// Package bergamotload lets all entries know how full the runners are. One entry of each data centre asks the runners there
// for reports; the others get these from it. Each of hundreds of entries sends a runner so few requests that it cannot tell
// from its own how many the runner has.
package bergamotload
