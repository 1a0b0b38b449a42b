package bergamotsetting

import (
	"strings"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotini"
)

// trust is the section [trust]: who approves the first bundle and any that an entry without one starts from.
type trust struct{ authority bergamotbundle.Authority }

func (t *trust) kind() string { return "trust" }

// required is true, since an entry without trusted keys could only believe any bundle or none.
func (t *trust) required() bool { return true }

func (t *trust) read(c *bergamotini.Section) {
	var operators []bergamotbundle.Operator
	c.Required("operators")
	for _, v := range c.List("operators") {
		name, key, _ := strings.Cut(v, ":")
		o, err := bergamotbundle.ParseOperator(strings.TrimSpace(name), strings.TrimSpace(key))
		if err != nil {
			c.AddFault("operators", "%q: %s", v, err)
			continue
		}
		for _, other := range operators {
			if other.Name() == o.Name() || other.Key().Equal(o.Key()) {
				c.AddFault("operators", "%q has the name or the key of operator %q", v, other.Name())
			}
		}
		operators = append(operators, o)
	}
	needed := c.Int("needed", 1, 1, 100)
	if needed > len(operators) {
		c.AddFault("needed", "%d approvals are needed, but %d operators are named", needed, len(operators))
	}
	t.authority = bergamotbundle.NewAuthority(needed, operators...)
}

// Trust returns who approves the first bundle; one approval is needed by default.
func (t *trust) Trust() bergamotbundle.Authority { return t.authority }
