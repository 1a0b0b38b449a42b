package bergamotmember

// Peer is an entry that settings or the instance list name.
type Peer struct {
	name    string
	address string
}

// NewPeer returns a peer with its address of host and port.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the unique name.
func (p Peer) Name() string { return p.name }

// Address returns host and port.
func (p Peer) Address() string { return p.address }
