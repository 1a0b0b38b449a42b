package bergamotsetting

import "bergamotspur/core/bergamotini"

// platform holds the section [platform].
type platform struct {
	table   string
	objects string
	weights string
	list    string
}

func (p *platform) section() string { return "platform" }

func (p *platform) required() bool { return true }

func (p *platform) read(section *bergamotini.Section) {
	p.table = address(section, "table")
	p.objects = address(section, "objects")
	p.weights = address(section, "weights")
	p.list = address(section, "list")
}

// TableAddress returns the address of the table service.
func (p *platform) TableAddress() string { return p.table }

// ObjectsAddress returns the address of the object store.
func (p *platform) ObjectsAddress() string { return p.objects }

// WeightsAddress returns the address of the weight store.
func (p *platform) WeightsAddress() string { return p.weights }

// InstanceListAddress returns the address of the instance list.
func (p *platform) InstanceListAddress() string { return p.list }
