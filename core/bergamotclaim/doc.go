// Package bergamotclaim runs calls that may not be repeated at most once for each workspace and idempotency key.
package bergamotclaim
