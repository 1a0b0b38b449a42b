// Package bergamotplacement plans which layers, model version and adapters each runner holds, and orders the runners to
// load them without leaving a pipeline unserved. It keeps no state: each pass starts from what the bundle declares and
// what the runners report.
package bergamotplacement
