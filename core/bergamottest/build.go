package bergamottest

import (
	"errors"
	"fmt"
	"strings"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotini"
	"bergamotspur/core/bergamotrequest"
)

// MinimalBundle is the text of a bundle of version 1 with the operator mari, to which sections can be appended.
const MinimalBundle = "[bundle]\nversion = 1\n[operator mari]\nkey = 11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=\n"

// Must returns v, or panics on an error, for set-up that fails only if the test is wrong.
func Must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Bundle returns the bundle in text, or panics if it is not valid.
func Bundle(text string) *bergamotbundle.Bundle {
	return Must(bergamotbundle.Parse("test", []byte(text)))
}

// EmptyBundle returns a bundle with the given version and one operator; there is no bundle with the digest of its parent.
func EmptyBundle(version int64) *bergamotbundle.Bundle {
	text := strings.Replace(MinimalBundle, "version = 1", fmt.Sprint("version = ", version), 1)
	if version > 1 {
		text = strings.Replace(text, "[operator", "parent = "+bergamotbundle.Digest([]byte(fmt.Sprint(version-1)))+"\n[operator", 1)
	}
	return Bundle(text)
}

// Request returns the request that s specifies, or panics if it is not valid.
func Request(s bergamotrequest.Spec) *bergamotrequest.Request { return Must(bergamotrequest.New(s)) }

// Runner returns a runner that holds the layers in a range of a model; its address is its name.
func Runner(name, model, version string, from, to int) bergamotfleet.Instance {
	return bergamotfleet.NewInstance(bergamotfleet.Spec{
		Name: name, Address: name, Role: bergamotfleet.RoleRunner,
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding(model, version, from, to)},
	})
}

// Faults returns the texts of the bergamotini.Faults in err, nil if it has none.
func Faults(err error) (list []string) {
	var faults bergamotini.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			list = append(list, f.String())
		}
	}
	return list
}
