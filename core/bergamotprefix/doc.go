// Package bergamotprefix estimates which targets have the beginning of a prompt in their caches.
package bergamotprefix
