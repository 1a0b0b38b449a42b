package bergamotsetting

import "bergamotspur/core/bergamotini"

// listen holds the section [listen].
type listen struct {
	callers   string
	operators string
}

func (l *listen) section() string { return "listen" }

func (l *listen) required() bool { return true }

func (l *listen) read(section *bergamotini.Section) {
	l.callers = address(section, "callers")
	l.operators = address(section, "operators")
}

// CallerAddress returns the address, as host:port, on which the entry listens for requests of callers.
func (l *listen) CallerAddress() string { return l.callers }

// OperatorAddress returns the address, as host:port, on which the entry serves health, metrics and status.
func (l *listen) OperatorAddress() string { return l.operators }
