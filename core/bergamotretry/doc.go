// Package bergamotretry limits retries by budgets per workspace and per target and spreads them by backoff with jitter.
package bergamotretry
