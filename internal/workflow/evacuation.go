package workflow

import "time"

// Evacuation is an operator's request that no items start on the workers of a failure domain.
// It holds until the key that makes it is deleted.
type Evacuation struct {
	FailureDomain string
	// Key and Revision are those of the request in the store.
	Key      string
	Revision uint64
	// SeenAt is the time at which this process learned of the request.
	SeenAt time.Time
}

// MaxFailureDomainBytes limits the name of a failure domain, so that it fits into a key of the store.
const MaxFailureDomainBytes = 128
