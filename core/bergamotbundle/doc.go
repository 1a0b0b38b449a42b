// Package bergamotbundle defines the versioned bundle that declares models, adapters, pipelines, services and access.
package bergamotbundle
