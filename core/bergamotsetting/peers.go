package bergamotsetting

import (
	"strings"

	"bergamotspur/core/bergamotini"
)

// peers is the section [peers]; without it an entry talks to no other entry.
type peers struct {
	peerAddress string
	seeds       []Seed
	cert        string
	key         string
	ca          string
}

func (p *peers) kind() string { return "peers" }

func (p *peers) required() bool { return false }

func (p *peers) read(c *bergamotini.Section) {
	p.peerAddress = address(c, "listen")
	for _, v := range c.List("seeds") {
		name, at, ok := strings.Cut(v, "@")
		if !ok || name == "" || !isAddress(at) {
			c.AddFault("seeds", "%q is not a name, an @ and an IP address with a port", v)
		}
		p.seeds = append(p.seeds, Seed{name: name, address: at})
	}
	p.cert, p.key, p.ca = c.Required("cert"), c.Required("key"), c.Required("ca")
}

// HasPeers tells whether the entry talks to other entries.
func (p *peers) HasPeers() bool { return p.peerAddress != "" }

// Peers returns the address that other entries use, empty for no peers.
func (p *peers) Peers() string { return p.peerAddress }

// Seeds returns the entries to contact before the instance list is known, none by default.
func (p *peers) Seeds() []Seed { return p.seeds }

// PeerCert returns the file of the certificate in PEM.
func (p *peers) PeerCert() string { return p.cert }

// PeerKey returns the file of the private key in PEM.
func (p *peers) PeerKey() string { return p.key }

// PeerCA returns the file of the authority that signs the certificates of all entries, in PEM.
func (p *peers) PeerCA() string { return p.ca }
