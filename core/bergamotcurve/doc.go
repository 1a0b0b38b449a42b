// Package bergamotcurve learns how the time that a target takes for a layer grows with the sequences assigned to it.
package bergamotcurve
