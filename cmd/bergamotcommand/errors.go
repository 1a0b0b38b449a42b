package bergamotcommand

import "errors"

var errFaults = errors.New("there are faults")
