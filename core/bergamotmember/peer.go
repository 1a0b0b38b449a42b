package bergamotmember

// Peer is an entry that is named in the settings or the instance list.
type Peer struct {
	name    string
	address string
}

// NewPeer returns a peer; address is host and port.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the unique name of the entry.
func (p Peer) Name() string { return p.name }

// Address returns host and port of the entry.
func (p Peer) Address() string { return p.address }
