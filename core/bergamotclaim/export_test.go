package bergamotclaim

import "context"

// WriteNext writes the first queued conclusion; tests call it instead of Run.
func (c *Claims) WriteNext(ctx context.Context) bool { return c.writeNext(ctx) }
