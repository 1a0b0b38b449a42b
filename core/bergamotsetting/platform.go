package bergamotsetting

import "bergamotspur/core/bergamotini"

// platform is the section [platform].
type platform struct {
	table   string
	objects string
	weights string
	list    string
}

func (p *platform) kind() string { return "platform" }

func (p *platform) required() bool { return true }

func (p *platform) read(c *bergamotini.Section) {
	p.table = address(c, "table")
	p.objects = address(c, "objects")
	p.weights = address(c, "weights")
	p.list = address(c, "list")
}

// Table returns the address of the table service.
func (p *platform) Table() string { return p.table }

// Objects returns the address of the object store.
func (p *platform) Objects() string { return p.objects }

// Weights returns the address of the weight store.
func (p *platform) Weights() string { return p.weights }

// List returns the address of the instance list.
func (p *platform) List() string { return p.list }
