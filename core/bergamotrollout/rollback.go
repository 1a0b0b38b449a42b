package bergamotrollout

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"bergamotspur/core/bergamotbundle"
)

// Rollback stores a new version with the content of the bundle with that digest and returns it. The new version must
// be approved and rolled like any other. An error comes back if that bundle is not older than the one in force.
func (r *Rollout) Rollback(ctx context.Context, digest string) (b *bergamotbundle.Bundle, err error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.version == 0 || head.digest == digest {
		return nil, newFailure(nil, "name the digest of an earlier version, as shown by \"bundle status --history 10\"", "there is nothing to roll back to %s", digest)
	}
	old, err := r.Bundle(ctx, digest)
	if err != nil {
		return nil, err
	}
	if old.Version() >= head.version {
		return nil, newFailure(nil, "name the digest of an earlier version", "version %d is not older than version %d in force", old.Version(), head.version)
	}
	return r.Propose(ctx, "rollback", Renumber(old.Text(), head.version+1, head.digest))
}

// Renumber returns text with the given version and parent in its [bundle] section and no other change.
func Renumber(text []byte, version int64, parent string) []byte {
	var out bytes.Buffer
	inBundle := false
	for line := range bytes.Lines(text) {
		trimmed := strings.TrimSpace(string(bytes.TrimPrefix(line, []byte("\ufeff"))))
		key, _, _ := strings.Cut(trimmed, "=")
		key = strings.TrimSpace(key)
		switch {
		case strings.HasPrefix(trimmed, "["):
			inBundle = strings.Join(strings.Fields(strings.Trim(trimmed, "[]")), " ") == "bundle"
			out.Write(line)
			if inBundle {
				fmt.Fprintf(&out, "version = %d\nparent = %s\n", version, parent)
			}
		case inBundle && (key == "version" || key == "parent"):
		default:
			out.Write(line)
		}
	}
	return out.Bytes()
}
