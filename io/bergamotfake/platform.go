package bergamotfake

import (
	"context"
	"net/http"
)

// Platform is the fakes of all services of the platform behind one port.
type Platform struct {
	Table     *Table
	Objects   *Objects
	Instances *Instances
	Weights   *Weights

	server *Server
}

// NewPlatform returns a platform that keeps nothing yet.
func NewPlatform() *Platform {
	return &Platform{Table: NewTable(), Objects: NewObjects(), Instances: NewInstances(), Weights: NewWeights()}
}

// Start serves the platform on address.
func (p *Platform) Start(address string) (err error) {
	mux := http.NewServeMux()
	mux.Handle("/table/", p.Table.Handler())
	mux.Handle("/objects/", p.Objects.Handler())
	mux.Handle("/instances", p.Instances.Handler())
	mux.Handle("/weights/", p.Weights.Handler())
	p.server, err = Listen(address, mux)
	return err
}

// Address returns host and port.
func (p *Platform) Address() string { return p.server.Address() }

// Kill ends the platform at once.
func (p *Platform) Kill() { p.server.Kill() }

// Stored returns the content of every row and object.
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

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error { return p.server.Run(ctx) }
