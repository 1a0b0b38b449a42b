package bergamotclaim

import "context"

// Step lets tests run the queue one conclusion at a time.
func (c *Claims) Step(ctx context.Context) bool { return c.step(ctx) }
