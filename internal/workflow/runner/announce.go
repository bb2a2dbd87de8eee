package runner

import (
	"net/http"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow"
)

// Sink receives the announcements of the worker on this host.
type Sink interface {
	// Announce handles an announcement.
	Announce(*workflow.Announcement)
	// Deregister handles the message that an instance terminates now.
	Deregister(instance string)
}

// Announcements holds the registered HTTP protocols in which workers announce
// themselves. Each returns the handler that decodes announcements for a Sink.
var Announcements = kernel.NewRegistry[func(Sink) http.Handler]("announcement protocol")
