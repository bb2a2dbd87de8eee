package daemon

import (
	_ "snipegw/internal/workflow/forecast" // scheduling plug-in urgent_forecast
)
