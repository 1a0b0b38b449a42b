package bergamotmember

// Head names the newest bundle that a member knows.
type Head struct {
	version int64
	digest  string
}

// NewHead returns a head; version 0 stands for none.
func NewHead(version int64, digest string) Head { return Head{version: version, digest: digest} }

// Version returns the version of the bundle.
func (h Head) Version() int64 { return h.version }

// Digest returns the digest of the bundle text.
func (h Head) Digest() string { return h.digest }

// Newer tells whether h replaces o; two digests of one version never replace each other.
func (h Head) Newer(o Head) bool { return h.version > o.version }
