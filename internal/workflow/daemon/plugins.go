package daemon

// The scheduling plug-ins register themselves under the names in the settings.
import (
	_ "snipegw/internal/workflow/callercost"
)
