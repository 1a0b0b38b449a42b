package bergamotrollout

import (
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
)

// HeadKey is the row of the table that names the bundle in force.
const HeadKey = "head"

// Head names the bundle in force.
type Head struct {
	version   int64
	digest    string
	parent    string
	operator  string
	approvals []Approval
}

// NewHead returns a head that operator moved from parent to digest. It carries the approvals, so that an entry reads
// one row and one object for a new version.
func NewHead(version int64, digest, parent, operator string, approvals ...Approval) Head {
	return Head{version: version, digest: digest, parent: parent, operator: operator, approvals: approvals}
}

// Version returns the version of the bundle, 0 if none was rolled out.
func (h Head) Version() int64 { return h.version }

// Digest returns the digest of the bundle text.
func (h Head) Digest() string { return h.digest }

// Parent returns the digest of the previous version, empty for version 1.
func (h Head) Parent() string { return h.parent }

// RolledBy returns the name of the operator who rolled the version out.
func (h Head) RolledBy() string { return h.operator }

// Approvals returns the approvals that were collected when the version was rolled out.
func (h Head) Approvals() []Approval { return h.approvals }

type headFields struct {
	Version   int64            `json:"version"`
	Digest    string           `json:"digest"`
	Parent    string           `json:"parent"`
	Operator  string           `json:"by"`
	Approvals []approvalFields `json:"approvals"`
}

// Encode returns the value of the row that stores the head.
func (h Head) Encode() ([]byte, error) {
	f := headFields{Version: h.version, Digest: h.digest, Parent: h.parent, Operator: h.operator}
	for _, a := range h.approvals {
		f.Approvals = append(f.Approvals, a.fields())
	}
	return json.Marshal(f)
}

// DecodeHead returns the head in the value of a row, or an error if a field is missing or malformed. It does not
// verify the approvals.
func DecodeHead(data []byte) (h Head, err error) {
	defer func() { err = oops.In("rollout").Wrapf(err, "decode head") }()
	var f headFields
	if err = json.Unmarshal(data, &f); err != nil {
		return h, err
	}
	first := f.Version == 1 && f.Parent == ""
	if f.Version < 1 || !bergamotbundle.IsDigest(f.Digest) || !first && !bergamotbundle.IsDigest(f.Parent) {
		return h, errors.New("version, digest or parent is missing or malformed")
	}
	h = NewHead(f.Version, f.Digest, f.Parent, f.Operator)
	for _, a := range f.Approvals {
		if err = a.check(); err != nil {
			return Head{}, err
		}
		h.approvals = append(h.approvals, a.approval())
	}
	return h, nil
}

// ObjectName returns the name of the object that holds the bundle text of a digest.
func ObjectName(digest string) string { return "bundle-" + digest }
