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

// BundleHead is the beginning of a bundle of version 1 with the operator mari.
const BundleHead = "[bundle]\nversion = 1\n[operator mari]\nkey = 11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=\n"

// Must returns v and panics on an error, for set-up that cannot fail unless the test is wrong.
func Must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Bundle parses the text of a valid bundle.
func Bundle(text string) *bergamotbundle.Bundle {
	return Must(bergamotbundle.Parse("test", []byte(text)))
}

// BundleOf returns a bundle of a version with no content; its parent exists only in name.
func BundleOf(version int64) *bergamotbundle.Bundle {
	text := strings.Replace(BundleHead, "version = 1", fmt.Sprint("version = ", version), 1)
	if version > 1 {
		text = strings.Replace(text, "[operator", "parent = "+bergamotbundle.Digest([]byte(fmt.Sprint(version-1)))+"\n[operator", 1)
	}
	return Bundle(text)
}

// Request returns the request of a valid specification.
func Request(s bergamotrequest.Spec) *bergamotrequest.Request { return Must(bergamotrequest.New(s)) }

// Runner returns a runner that holds layers of a model; its address is its name.
func Runner(name, model, version string, from, to int) bergamotfleet.Instance {
	return bergamotfleet.NewInstance(bergamotfleet.Spec{
		Name: name, Address: name, Role: bergamotfleet.RoleRunner,
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding(model, version, from, to)},
	})
}

// Faults returns the faults of an INI document in an error, nil when it holds none.
func Faults(err error) (list []string) {
	var faults bergamotini.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			list = append(list, f.String())
		}
	}
	return list
}
