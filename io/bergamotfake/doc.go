// Package bergamotfake provides small fakes of the platform and the targets for tests and the demo.
package bergamotfake
