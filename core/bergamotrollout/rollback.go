package bergamotrollout

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"bergamotspur/core/bergamotbundle"
)

// Rollback stores a new version with the content of the bundle with that digest. It is not in force before
// it is approved and rolled like any other.
func (r *Rollout) Rollback(ctx context.Context, digest string) (b *bergamotbundle.Bundle, err error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.version == 0 || head.digest == digest {
		return nil, fail(nil, "name the digest of an earlier version, as shown by \"bundle status --history 10\"", "there is nothing to roll back to %s", digest)
	}
	old, err := r.Bundle(ctx, digest)
	if err != nil {
		return nil, err
	}
	if old.Version() >= head.version {
		return nil, fail(nil, "name the digest of an earlier version", "version %d is not older than version %d in force", old.Version(), head.version)
	}
	return r.Propose(ctx, "rollback", Renumber(old.Text(), head.version+1, head.digest))
}

// Renumber returns text with another version and parent in its [bundle] section and nothing else changed.
func Renumber(text []byte, version int64, parent string) []byte {
	var out bytes.Buffer
	inside := false
	for line := range bytes.Lines(text) {
		trimmed := strings.TrimSpace(string(bytes.TrimPrefix(line, []byte("\ufeff"))))
		key, _, _ := strings.Cut(trimmed, "=")
		key = strings.TrimSpace(key)
		switch {
		case strings.HasPrefix(trimmed, "["):
			inside = strings.Join(strings.Fields(strings.Trim(trimmed, "[]")), " ") == "bundle"
			out.Write(line)
			if inside {
				fmt.Fprintf(&out, "version = %d\nparent = %s\n", version, parent)
			}
		case inside && (key == "version" || key == "parent"):
		default:
			out.Write(line)
		}
	}
	return out.Bytes()
}
