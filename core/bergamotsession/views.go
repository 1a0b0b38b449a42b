package bergamotsession

import "bergamotspur/core/bergamotcontrol"

// Views returns the newest control state.
type Views interface {
	View() *bergamotcontrol.View
}
