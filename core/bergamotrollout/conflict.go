package bergamotrollout

import "fmt"

// Conflict is returned when the head no longer names the parent of the bundle that is to be rolled.
type Conflict struct {
	head  Head
	lost  int64
	stale bool
}

// Head returns the head that stands in the way.
func (c *Conflict) Head() Head { return c.head }

// Error tells who rolled what and what to do next.
func (c *Conflict) Error() string {
	if c.head.version == 0 {
		return fmt.Sprintf("version %d has a parent, but no bundle is in force\n"+
			"  next: check the address of the table; a first bundle has version 1 and no parent", c.lost)
	}
	what := fmt.Sprintf("operator %s rolled version %d with digest %s, which is not the parent of this version %d",
		c.head.by, c.head.version, c.head.digest, c.lost)
	if c.stale {
		what = fmt.Sprintf("this version %d was in force until operator %s rolled version %d with digest %s",
			c.lost, c.head.by, c.head.version, c.head.digest)
	}
	return what + fmt.Sprintf("\n  next: see what changed with \"bundle diff %s FILE\", bring the changes together, "+
		"set version = %d and parent = %s, then propose, approve and roll again", c.head.digest, c.head.version+1, c.head.digest)
}
