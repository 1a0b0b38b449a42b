package bergamotsetting

import "bergamotspur/core/bergamotini"

// peers is the section [peers]; without it an entry talks to no other entry.
type peers struct {
	peerAddress string
	seeds       []string
	cert        string
	key         string
	ca          string
}

func (p *peers) kind() string { return "peers" }

func (p *peers) required() bool { return false }

func (p *peers) read(c *bergamotini.Section) {
	p.peerAddress = address(c, "listen")
	p.seeds = c.List("seeds")
	for _, seed := range p.seeds {
		if !isAddress(seed) {
			c.Fault("seeds", "%q is not an IP address with a port", seed)
		}
	}
	p.cert, p.key, p.ca = c.Need("cert"), c.Need("key"), c.Need("ca")
}

// HasPeers tells whether the entry talks to other entries.
func (p *peers) HasPeers() bool { return p.peerAddress != "" }

// Peers returns the address that other entries use, empty for no peers.
func (p *peers) Peers() string { return p.peerAddress }

// Seeds returns the addresses of entries to contact first, none by default.
func (p *peers) Seeds() []string { return p.seeds }

// PeerCert returns the file of the certificate in PEM.
func (p *peers) PeerCert() string { return p.cert }

// PeerKey returns the file of the private key in PEM.
func (p *peers) PeerKey() string { return p.key }

// PeerCA returns the file of the authority that signs the certificates of all entries, in PEM.
func (p *peers) PeerCA() string { return p.ca }
