// Package bergamotconfig defines the configuration that operators declare for relayed requests: routes, services,
// engines, workspaces and limits.
package bergamotconfig
