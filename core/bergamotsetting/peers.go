package bergamotsetting

import (
	"strings"

	"bergamotspur/core/bergamotini"
)

// peers holds the section [peers]; without it an entry does not communicate with other entries.
type peers struct {
	peerAddress string
	seeds       []Seed
	cert        string
	key         string
	ca          string
}

func (p *peers) section() string { return "peers" }

func (p *peers) required() bool { return false }

func (p *peers) read(section *bergamotini.Section) {
	p.peerAddress = address(section, "listen")
	for _, v := range section.List("seeds") {
		name, addr, ok := strings.Cut(v, "@")
		if !ok || name == "" || !isAddress(addr) {
			section.AddFault("seeds", "%q is not a name, an @ and an IP address with a port", v)
		}
		p.seeds = append(p.seeds, Seed{name: name, address: addr})
	}
	p.cert, p.key, p.ca = section.Required("cert"), section.Required("key"), section.Required("ca")
}

// HasPeers reports whether the entry communicates with other entries.
func (p *peers) HasPeers() bool { return p.peerAddress != "" }

// PeerAddress returns the address, as host:port, on which the entry listens for other entries, empty without peers.
func (p *peers) PeerAddress() string { return p.peerAddress }

// Seeds returns the entries to contact before the instance list is known, none by default.
func (p *peers) Seeds() []Seed { return p.seeds }

// PeerCertFile returns the path of the entry's certificate in PEM.
func (p *peers) PeerCertFile() string { return p.cert }

// PeerKeyFile returns the path of the entry's private key in PEM.
func (p *peers) PeerKeyFile() string { return p.key }

// PeerCAFile returns the path of the certificate of the authority that signs the certificates of all entries, in PEM.
func (p *peers) PeerCAFile() string { return p.ca }
