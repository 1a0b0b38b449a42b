// Package bergamotpath selects the runners that execute the layers of a relayed request, based on the declared speed of
// their accelerators and on the load that this entry has placed on them.
package bergamotpath
