// Package bergamotfake provides fakes of the platform's services and of targets for tests and the demo.
package bergamotfake
