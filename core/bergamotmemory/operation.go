package bergamotmemory

// Names of operations in plans, outages and the journal. Any stands for each of them.
const (
	Any   = ""
	Read  = "read"
	Swap  = "swap"
	Page  = "page"
	Put   = "put"
	Fetch = "fetch"
)
