// Package bergamotcurve learns how the step time of a target grows with the work that is assigned to it.
package bergamotcurve
