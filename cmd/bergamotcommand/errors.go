package bergamotcommand

import "errors"

// errFaults makes the command fail after it has printed the faults of its input.
var errFaults = errors.New("there are faults")
