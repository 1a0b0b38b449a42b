package bergamotsetting

import "bergamotspur/core/bergamotini"

// listen is the section [listen].
type listen struct {
	callers   string
	operators string
}

func (l *listen) kind() string { return "listen" }

func (l *listen) required() bool { return true }

func (l *listen) read(c *bergamotini.Section) {
	l.callers = address(c, "callers")
	l.operators = address(c, "operators")
}

// Callers returns the address that callers use.
func (l *listen) Callers() string { return l.callers }

// Operators returns the address of health, metrics and status.
func (l *listen) Operators() string { return l.operators }
