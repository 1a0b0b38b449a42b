package bergamotsetting

import (
	"strings"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotini"
)

// trust holds the section [trust]: the operators who approve the first bundle, and whose approval an entry that has no
// bundle yet relies on.
type trust struct{ authority bergamotbundle.Authority }

func (t *trust) section() string { return "trust" }

// required returns true, since without trusted keys an entry would have to accept any bundle or none.
func (t *trust) required() bool { return true }

func (t *trust) read(section *bergamotini.Section) {
	var operators []bergamotbundle.Operator
	section.Required("operators")
	for _, v := range section.List("operators") {
		name, key, _ := strings.Cut(v, ":")
		o, err := bergamotbundle.ParseOperator(strings.TrimSpace(name), strings.TrimSpace(key))
		if err != nil {
			section.AddFault("operators", "%q: %s", v, err)
			continue
		}
		for _, other := range operators {
			if other.Name() == o.Name() || other.Key().Equal(o.Key()) {
				section.AddFault("operators", "%q has the name or the key of operator %q", v, other.Name())
			}
		}
		operators = append(operators, o)
	}
	needed := section.Int("needed", 1, 1, 100)
	if needed > len(operators) {
		section.AddFault("needed", "%d approvals are needed, but %d operators are named", needed, len(operators))
	}
	t.authority = bergamotbundle.NewAuthority(needed, operators...)
}

// Trust returns the operators who approve the first bundle; one approval is needed by default.
func (t *trust) Trust() bergamotbundle.Authority { return t.authority }
