package bergamotmember

import "github.com/cespare/xxhash/v2"

// workspaceIDBits keeps the probability that two of 11,000 workspaces share an ID at 11,000^2/2/2^40 = 0.006 %.
const workspaceIDBits = 40

// Demand is the request rate of one workspace at one entry.
type Demand struct {
	workspace uint64
	rate      uint32
}

// NewDemand returns the demand of the workspace with an ID, in requests per second.
func NewDemand(workspace uint64, rate uint32) Demand { return Demand{workspace: workspace, rate: rate} }

// WorkspaceID returns the 40-bit hash that stands for the name of a workspace in messages.
func WorkspaceID(name string) uint64 { return xxhash.Sum64String(name) >> (64 - workspaceIDBits) }

// Workspace returns the ID of the workspace.
func (d Demand) Workspace() uint64 { return d.workspace }

// Rate returns the requests per second.
func (d Demand) Rate() uint32 { return d.rate }
