// Package bergamotretry bounds retries by budgets of workspaces and targets and spreads them by backoff with jitter.
package bergamotretry
