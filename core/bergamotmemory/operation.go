package bergamotmemory

// Names of operations in plans, outages and the journal. Any matches every operation.
const (
	Any   = ""
	Read  = "read"
	Swap  = "swap"
	Page  = "page"
	Put   = "put"
	Fetch = "fetch"
)
