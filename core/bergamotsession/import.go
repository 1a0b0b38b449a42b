package bergamotsession

// Import identifies the KV cache that an instance imports from a live stage of an earlier attempt.
type Import struct {
	source   string
	attempt  int
	from     int
	to       int
	position int
}

// NewImport returns an import of the layers [from, to) of an attempt; it covers the prompt and the first position tokens
// of the answer.
func NewImport(source string, attempt, from, to, position int) Import {
	return Import{source: source, attempt: attempt, from: from, to: to, position: position}
}

// Source returns the address of the instance that has the KV cache.
func (i Import) Source() string { return i.source }

// Attempt returns the number of the attempt that the source instance ran.
func (i Import) Attempt() int { return i.attempt }

// From returns the first layer.
func (i Import) From() int { return i.from }

// To returns the layer after the last one.
func (i Import) To() int { return i.to }

// Position returns the number of tokens of the answer that the KV cache covers.
func (i Import) Position() int { return i.position }
