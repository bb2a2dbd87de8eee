package kernel

import (
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
)

const (
	// maxRejections limits the rejected inputs that are remembered. When there are more, all
	// are forgotten, and some may be logged again.
	maxRejections = 256
	// rejectionBurst and rejectionInterval limit the log lines: so many at once, and one in
	// each interval in the long run.
	rejectionBurst    = 10
	rejectionInterval = 6 * time.Second
	// maxRejectionText limits the length of a key or a reason in bytes.
	maxRejectionText = 200
)

// Rejections is the log of the process for input that it cannot use.
var Rejections RejectionLog

// RejectionLog logs and counts input of other writers that is not used, such as records of the
// store that cannot be decoded. The same input may be read any number of times. The zero value
// is ready for use. It is safe for concurrent use.
type RejectionLog struct {
	mu         sync.Mutex
	logged     map[[3]string]bool // source, key and reason
	available  int                // log lines that may be written at once
	filledAt   time.Time          // when available was last increased; zero before the first line
	suppressed int                // inputs that were not logged since the latest line, although they are new
}

// Report counts an input in metric snipegw_inputs_rejected_total, and logs it with the event and
// the message unless it was logged before or too many others were. The source, which labels the
// metric, names the kind of the input, the key the input itself, and err the reason.
func (l *RejectionLog) Report(event, source, key string, err error, message string) {
	Metrics.Count("snipegw_inputs_rejected_total", "source", source)
	key, reason := limitText(key), limitText(err.Error())
	suppressed, ok := l.admit([3]string{source, key, reason}, time.Now())
	if !ok {
		return
	}
	log.WithFields(log.Fields{
		"event": event, "source": source, "key": key, "code": int(result.BadRequest), "error": reason, "suppressed": suppressed,
	}).Warn(message)
}

// admit reports whether an input is to be logged, and how many were not since the latest line.
func (l *RejectionLog) admit(input [3]string, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[input] {
		return 0, false
	}
	if n := int(min(now.Sub(l.filledAt)/rejectionInterval, rejectionBurst)); l.filledAt.IsZero() || n > 0 {
		l.filledAt = now
		l.available = min(l.available+max(n, 1), rejectionBurst)
	}
	if l.logged == nil {
		l.logged, l.available = make(map[[3]string]bool), rejectionBurst
	}
	if l.available == 0 {
		l.suppressed++
		return 0, false
	}
	if len(l.logged) >= maxRejections {
		clear(l.logged)
	}
	l.logged[input] = true
	l.available--
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// limitText returns the first maxRejectionText bytes of text, as valid UTF-8.
func limitText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxRejectionText)], "?")
}
