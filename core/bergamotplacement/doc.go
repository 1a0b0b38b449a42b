// Package bergamotplacement decides which runner holds which layers, model, version and adapters, and which commands
// bring the runners there without leaving a pipeline unserved. It keeps no state: each pass starts from what the bundle
// declares and what the runners report.
package bergamotplacement
