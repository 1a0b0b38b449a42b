package bergamotsetting

import "bergamotspur/core/bergamotini"

// entry holds the section [entry].
type entry struct {
	name       string
	dataCentre string
}

func (e *entry) section() string { return "entry" }

func (e *entry) required() bool { return true }

func (e *entry) read(section *bergamotini.Section) {
	e.name = section.Required("name")
	e.dataCentre = section.Required("centre")
}

// Name returns the unique name of the entry.
func (e *entry) Name() string { return e.name }

// DataCentre returns the data centre of the entry.
func (e *entry) DataCentre() string { return e.dataCentre }
