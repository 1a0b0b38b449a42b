package bergamotrollout

import "fmt"

// Conflict is the error that the head does not name the parent of a bundle, so that the bundle cannot be put in force.
type Conflict struct {
	head          Head
	bundleVersion int64 // version of the bundle that cannot be put in force
	superseded    bool  // that bundle was in force before head
}

// Head returns the head that was found in the table.
func (c *Conflict) Head() Head { return c.head }

// Error returns who rolled the version in force and what to do next.
func (c *Conflict) Error() string {
	if c.head.version == 0 {
		return fmt.Sprintf("version %d has a parent, but no bundle is in force\n"+
			"  next: check the address of the table; a first bundle has version 1 and no parent", c.bundleVersion)
	}
	text := fmt.Sprintf("operator %s rolled version %d with digest %s, which is not the parent of this version %d",
		c.head.operator, c.head.version, c.head.digest, c.bundleVersion)
	if c.superseded {
		text = fmt.Sprintf("this version %d was in force until operator %s rolled version %d with digest %s",
			c.bundleVersion, c.head.operator, c.head.version, c.head.digest)
	}
	return text + fmt.Sprintf("\n  next: see what changed with \"bundle diff %s FILE\", bring the changes together, "+
		"set version = %d and parent = %s, then propose, approve and roll again", c.head.digest, c.head.version+1, c.head.digest)
}
