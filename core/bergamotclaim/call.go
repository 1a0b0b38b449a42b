package bergamotclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"strings"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Prefix is the prefix of the key of every row that holds a call.
const Prefix = "claim/"

// Call is one call of a workspace that may not be repeated.
type Call struct {
	workspace string
	request   *bergamotrequest.Request
	deadline  time.Time
}

// NewCall returns the call that the request r makes for a workspace; it must not be dispatched after deadline.
func NewCall(workspace string, r *bergamotrequest.Request, deadline time.Time) Call {
	return Call{workspace: workspace, request: r, deadline: deadline}
}

// Key returns the key of the call's row.
func (c Call) Key() string { return RowKey(c.workspace, c.request.IdempotencyKey()) }

// Name returns the name under which the service knows the call; it contains the workspace, since two workspaces may use
// the same idempotency key.
func (c Call) Name() string { return strings.TrimPrefix(c.Key(), Prefix) }

// Deadline returns the time after which the call must not be dispatched.
func (c Call) Deadline() time.Time { return c.deadline }

// Digest returns the SHA-256 digest of service, call and body in hexadecimal.
func (c Call) Digest() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.request.Service()), []byte(c.request.Call()), c.request.Body()} {
		// Without the lengths, two requests that split the same bytes differently would have the same digest.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// RowKey returns the key of the row that holds the call of a workspace with an idempotency key.
func RowKey(workspace, key string) string {
	return Prefix + url.PathEscape(workspace) + "/" + url.PathEscape(key)
}

// SplitKey returns the workspace and the idempotency key from the key of a row; ok is false when the row holds no call.
func SplitKey(row string) (workspace, key string, ok bool) {
	rest, ok := strings.CutPrefix(row, Prefix)
	if !ok {
		return "", "", false
	}
	w, k, ok := strings.Cut(rest, "/")
	if !ok {
		return "", "", false
	}
	workspace, errW := url.PathUnescape(w)
	key, errK := url.PathUnescape(k)
	return workspace, key, errW == nil && errK == nil
}
