// Package bergamothealth decides how much work each instance may get: slow start and outlier ejection with a floor.
package bergamothealth
