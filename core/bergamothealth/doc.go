// Package bergamothealth computes how much work each instance may get: it starts new instances slowly and ejects
// outliers, but keeps a minimum share of the instances of each layer.
package bergamothealth
