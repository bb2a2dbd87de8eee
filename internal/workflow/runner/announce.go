package runner

import (
	"net/http"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow"
)

// Sink takes what a worker says about itself.
type Sink interface {
	Announce(*workflow.Announcement)
	Goodbye(instance string)
}

// Announcements holds the registered forms in which workers announce themselves
// over HTTP.
var Announcements = kernel.NewRegistry[func(Sink) http.Handler]("form of announcements")
