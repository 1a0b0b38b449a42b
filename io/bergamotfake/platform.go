package bergamotfake

import (
	"context"
	"net/http"
)

// A Platform serves the fakes of all platform services on one port.
type Platform struct {
	Table     *Table
	Objects   *Objects
	Instances *Instances
	Weights   *Weights

	server *Server
}

// NewPlatform returns a platform without any data.
func NewPlatform() *Platform {
	return &Platform{Table: NewTable(), Objects: NewObjects(), Instances: NewInstances(), Weights: NewWeights()}
}

// Start listens on address and serves in the background.
func (p *Platform) Start(address string) (err error) {
	mux := http.NewServeMux()
	mux.Handle("/table/", p.Table.Handler())
	mux.Handle("/objects/", p.Objects.Handler())
	mux.Handle("/instances", p.Instances.Handler())
	mux.Handle("/weights/", p.Weights.Handler())
	p.server, err = Listen(address, mux)
	return err
}

// Address returns the host and port of the platform.
func (p *Platform) Address() string { return p.server.Address() }

// Kill closes the platform's port and all of its connections at once.
func (p *Platform) Kill() { p.server.Kill() }

// Stored returns the contents of all rows and objects.
func (p *Platform) Stored() (out [][]byte) {
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	for _, row := range p.Table.rows {
		out = append(out, row.Value)
	}
	p.Objects.mu.Lock()
	defer p.Objects.mu.Unlock()
	for _, data := range p.Objects.data {
		out = append(out, data)
	}
	return out
}

// Run blocks until ctx ends and then kills the platform, or until serving fails.
func (p *Platform) Run(ctx context.Context) error { return p.server.Run(ctx) }
