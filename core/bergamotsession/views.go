package bergamotsession

import "bergamotspur/core/bergamotcontrol"

// Views provides the latest view of the control state.
type Views interface {
	View() *bergamotcontrol.View
}
