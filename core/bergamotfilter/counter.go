package bergamotfilter

// Counter counts events by name.
type Counter interface {
	Count(name string)
}
