package bergamotrollout

import (
	"encoding/json"

	"github.com/samber/oops"
)

// HeadKey is the row of the table that names the bundle in force.
const HeadKey = "head"

// Head names the bundle in force.
type Head struct {
	version int64
	digest  string
	parent  string
	by      string
}

// NewHead returns a head that the operator by moved from parent to digest.
func NewHead(version int64, digest, parent, by string) Head {
	return Head{version: version, digest: digest, parent: parent, by: by}
}

// Version returns the version of the bundle.
func (h Head) Version() int64 { return h.version }

// Digest returns the digest of the bundle text.
func (h Head) Digest() string { return h.digest }

// Parent returns the digest of the version before.
func (h Head) Parent() string { return h.parent }

// By returns the operator who rolled the version out.
func (h Head) By() string { return h.by }

type headFields struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	Parent  string `json:"parent"`
	By      string `json:"by"`
}

// Encode returns the content of the row.
func (h Head) Encode() ([]byte, error) {
	return json.Marshal(headFields{Version: h.version, Digest: h.digest, Parent: h.parent, By: h.by})
}

// DecodeHead returns the head that a row contains.
func DecodeHead(data []byte) (h Head, err error) {
	defer func() { err = oops.In("rollout").Wrapf(err, "decode head") }()
	var f headFields
	if err = json.Unmarshal(data, &f); err != nil {
		return h, err
	}
	return NewHead(f.Version, f.Digest, f.Parent, f.By), nil
}

// ObjectName returns the name of the object that holds the bundle text of a digest.
func ObjectName(digest string) string { return "bundle-" + digest }
