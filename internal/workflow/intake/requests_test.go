package intake

import (
	"errors"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/mirror"
)

// requestBench is an Intake with a mirror of operators' keys, to which the tests apply changes.
type requestBench struct {
	*GomegaWithT
	*Intake
	logs    *memory.Handler
	inForce []string // failure domains passed on last
}

func newRequestBench(t *testing.T, supported bool) *requestBench {
	b := &requestBench{GomegaWithT: NewWithT(t), logs: memory.New()}
	log.SetHandler(b.logs)
	b.Intake = New(nil, mirror.New(nil, "r/"), mirror.New(nil, "o/"), ConfigFormat{
		Prefix: "o/", Key: "o/config",
		Evacuation: EvacuationFormat{
			Key: func(domain string) string { return "o/evacuate/" + domain },
			Decode: func(key string, value []byte) (string, bool, error) {
				domain, ok := strings.CutPrefix(key, "o/evacuate/")
				if string(value) != "{}" {
					return domain, ok, errors.New("no object")
				}
				return domain, ok, nil
			},
		},
	})
	if supported {
		b.OnEvacuations(func(list []workflow.Evacuation) {
			b.inForce = []string{}
			for _, v := range list {
				b.inForce = append(b.inForce, v.FailureDomain)
			}
		})
	}
	b.Subscribe()
	return b
}

func (b *requestBench) put(domain string, revision uint64) {
	b.LearnRequests([]store.Record{{Key: "o/evacuate/" + domain, Value: []byte("{}"), Revision: revision}})
}

func (b *requestBench) remove(domain string, revision uint64) {
	b.configMirror.Apply([]store.Event{{Record: store.Record{Key: "o/evacuate/" + domain, Revision: revision}, Deleted: true}})
}

// events returns the names of the logged events.
func (b *requestBench) events() []string {
	var names []string
	for _, e := range b.logs.Entries {
		names = append(names, e.Fields["event"].(string))
	}
	return names
}

// Guards against an old state of a request that comes back by a late reply or a new list after
// the withdrawal, and against two requests of which one ends the other.
func TestLatestRevisionOfARequestHolds(t *testing.T) {
	b := newRequestBench(t, true)
	b.put("z0", 10)
	b.put("z1", 11)
	b.Expect(b.inForce).To(Equal([]string{"z0", "z1"}))
	b.remove("z0", 12)
	b.Expect(b.inForce).To(Equal([]string{"z1"}))
	b.put("z0", 10) // read by a transaction before the withdrawal
	b.Expect(b.inForce).To(Equal([]string{"z1"}))
	b.put("z0", 13) // given again within a second
	b.Expect(b.inForce).To(Equal([]string{"z0", "z1"}))
	b.remove("z0", 12)
	b.Expect(b.inForce).To(Equal([]string{"z0", "z1"}))
	b.remove("z0", 14)
	b.remove("z1", 15)
	b.Expect(b.inForce).To(BeEmpty())
	b.Expect(b.events()).To(Equal([]string{
		"evacuation_requested", "evacuation_requested", "evacuation_withdrawn", "evacuation_requested", "evacuation_withdrawn", "evacuation_withdrawn",
	}), "one line for each change")
	b.Expect(b.logs.Entries[2].Fields).To(And(HaveKeyWithValue("key", "o/evacuate/z0"), HaveKeyWithValue("revision", uint64(12)), HaveKey("age_ms")))
}

// Guards against an unreadable request that ends others or goes unreported, and against one that is
// ignored although its key names a failure domain.
func TestUnreadableRequestHolds(t *testing.T) {
	b := newRequestBench(t, true)
	b.put("z0", 10)
	b.LearnRequests([]store.Record{{Key: "o/evacuate/z1", Value: []byte("{"), Revision: 11}, {Key: "o/evacuate/", Value: []byte("{}"), Revision: 12}})
	b.Expect(b.inForce).To(Equal([]string{"z0", "z1"}))
	b.Expect(b.events()).To(Equal([]string{"evacuation_requested", "evacuation_unreadable", "evacuation_requested"}))
}

// Guards against requests that are taken for supported while the settings switch them off.
func TestRequestsAreUnsupportedWithoutAListener(t *testing.T) {
	b := newRequestBench(t, false)
	b.put("z0", 10)
	b.remove("z0", 11)
	b.Expect(b.events()).To(Equal([]string{"operator_request_unsupported"}))
}
