// Package bergamotprefix estimates which targets have the beginning of a prompt in their prefix caches.
package bergamotprefix
