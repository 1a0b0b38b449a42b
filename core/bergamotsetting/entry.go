package bergamotsetting

import "bergamotspur/core/bergamotini"

// entry is the section [entry].
type entry struct {
	name   string
	centre string
}

func (e *entry) kind() string { return "entry" }

func (e *entry) required() bool { return true }

func (e *entry) read(c *bergamotini.Section) {
	e.name = c.Required("name")
	e.centre = c.Required("centre")
}

// Name returns the unique name of the entry.
func (e *entry) Name() string { return e.name }

// DataCentre returns the data centre of the entry.
func (e *entry) DataCentre() string { return e.centre }
