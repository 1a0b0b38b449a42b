// Package bergamotdetour decides when an entry reaches runners through another entry, and through which one. An entry whose own
// links to the runners are cut goes on serving its callers: it opens its connections to runners over helpers, entries whose links
// work. A helper only passes bytes on; the entry that was asked keeps every decision about the request.
package bergamotdetour
