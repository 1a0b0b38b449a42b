package bergamotmember

// Head names a bundle by version and digest; a member keeps the newest one that it knows.
type Head struct {
	version int64
	digest  string
}

// NewHead returns a head; version 0 means that there is none.
func NewHead(version int64, digest string) Head { return Head{version: version, digest: digest} }

// Version returns the version of the bundle.
func (h Head) Version() int64 { return h.version }

// Digest returns the digest of the bundle text.
func (h Head) Digest() string { return h.digest }

// IsNewerThan reports whether h replaces o, which it does only if its version is higher, whatever the digests.
func (h Head) IsNewerThan(o Head) bool { return h.version > o.version }
