package bergamotmember

import "github.com/cespare/xxhash/v2"

// workspaceBits keeps the chance that two of 11,000 workspaces share an id at 11,000^2/2/2^40 = 0.006 %.
const workspaceBits = 40

// Demand is the requests a second for one workspace at one entry.
type Demand struct {
	workspace uint64
	rate      uint32
}

// NewDemand returns the demand of a workspace id in requests a second.
func NewDemand(workspace uint64, rate uint32) Demand { return Demand{workspace: workspace, rate: rate} }

// WorkspaceID returns the id of 40 bits that stands for the name of a workspace in messages.
func WorkspaceID(name string) uint64 { return xxhash.Sum64String(name) >> (64 - workspaceBits) }

// Workspace returns the id of the workspace.
func (d Demand) Workspace() uint64 { return d.workspace }

// Rate returns the requests a second.
func (d Demand) Rate() uint32 { return d.rate }
