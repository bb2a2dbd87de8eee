package daemon

// The scheduling plug-ins, which register themselves.
import (
	_ "snipegw/internal/workflow/callercost"
	_ "snipegw/internal/workflow/forecast"
	_ "snipegw/internal/workflow/workerspeed"
)
