package bergamotsession

// Import names the KV cache that a target pulls from a live stage of an earlier attempt.
type Import struct {
	source   string
	attempt  int
	from     int
	to       int
	position int
}

// NewImport returns an import of layers from (included) to to (excluded) of an attempt, cut to the
// prompt and the first position tokens of the answer.
func NewImport(source string, attempt, from, to, position int) Import {
	return Import{source: source, attempt: attempt, from: from, to: to, position: position}
}

// Source returns the address that the target pulls from.
func (i Import) Source() string { return i.source }

// Attempt returns the number of the attempt that the source ran.
func (i Import) Attempt() int { return i.attempt }

// From returns the first layer.
func (i Import) From() int { return i.from }

// To returns the layer after the last one.
func (i Import) To() int { return i.to }

// Position returns how many tokens of the answer the imported cache covers.
func (i Import) Position() int { return i.position }
