package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/store/storetest"
	"snipegw/internal/wire"
)

var suiteT *testing.T

func TestConfig(t *testing.T) {
	suiteT = t
	log.SetLevel(log.FatalLevel)
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const firstDocument = `{"teams":[{"id":"a","weight":1,"guarantees":[{"count":1,"tasks":2,"accelerators_per_task":8,"adjacent":"rack"}]}],"weights":{"completion_time":1}}`

// withManagers runs f on a virtual clock with n managers that share a store with a
// latency of 3 ms.
func withManagers(n int, f func(ctx context.Context, st *storetest.Store, m []*Manager)) {
	var failure any
	synctest.Test(suiteT, func(*testing.T) {
		defer func() { failure = recover() }()
		st := storetest.New(3 * time.Millisecond)
		ms := make([]*Manager, n)
		for i := range ms {
			ms[i] = New(Options{Store: st, Bootstrap: []byte(firstDocument)})
			Expect(ms[i].Start(context.Background())).To(Succeed())
			defer func() { _ = ms[i].Stop(context.Background()) }()
		}
		time.Sleep(2 * time.Second)
		f(context.Background(), st, ms)
	})
	if failure != nil {
		panic(failure)
	}
}

func weightPatch(id string, base uint64, weight int) PatchRequest {
	return PatchRequest{ID: id, BaseVersion: base, Type: JSONPatch, Patch: fmt.Appendf(nil, `[{"op":"replace","path":"/teams/0/weight","value":%d}]`, weight)}
}

func storedConfig(st *storetest.Store) *model.Config {
	c, err := parseStored(st.Peek(Key))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

func everyCall(op string, f storetest.Fault) func(string, string) storetest.Fault {
	return firstCalls(op, f, 1<<40)
}

// firstCalls returns a rule that applies f to the first n calls of op. An empty op
// stands for all operations.
func firstCalls(op string, f storetest.Fault, n int64) func(string, string) storetest.Fault {
	var count atomic.Int64
	return func(o, _ string) storetest.Fault {
		if (op == "" || o == op) && count.Add(1) <= n {
			return f
		}
		return storetest.None
	}
}

var _ = Describe("patches", func() {
	It("take effect on every process within the target of 2 s", func() {
		withManagers(3, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			for _, x := range m {
				Expect(x.Version()).To(BeNumerically("==", 1))
			}
			began := time.Now()
			res, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Version).To(BeNumerically("==", 2))
			for m[1].Version() < 2 || m[2].Version() < 2 {
				time.Sleep(time.Millisecond)
			}
			Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
			Expect(m[2].Current().Teams[0].Weight).To(Equal(7))
		})
	})

	It("answer a repeated id with the first outcome, also when it is based on an old version", func() {
		withManagers(2, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			_, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			_, err = m[0].Patch(ctx, weightPatch("p2", 2, 8))
			Expect(err).NotTo(HaveOccurred())
			res, err := m[1].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Version).To(BeNumerically("==", 2))
			Expect(storedConfig(st).Version).To(BeNumerically("==", 3))
		})
	})

	// Guards against a process that starts with a stale read and undoes a patch,
	// because it knows no version to compare the read with.
	It("are not undone by a stale read of a process that starts", func() {
		withManagers(1, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			_, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			st.SetFaultRule(firstCalls(storetest.OpGet, storetest.Stale, 1))
			second := New(Options{Store: st})
			var seen []uint64
			second.OnChange(func(c *model.Config) { seen = append(seen, c.Version) })
			Expect(second.Start(ctx)).To(Succeed())
			time.Sleep(5 * time.Second)
			Expect(second.Stop(ctx)).To(Succeed())
			Expect(seen).To(Equal([]uint64{2}))
		})
	})

	// Guards against a patch that is refused because a starting process has written
	// the unchanged document again.
	It("succeed when the same version is written again at the same time", func() {
		withManagers(1, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			var once sync.Once
			st.SetFaultRule(func(op, _ string) storetest.Fault {
				if op == storetest.OpCAS {
					once.Do(func() { go func() { st.Put(Key, st.Peek(Key)) }() })
				}
				return storetest.None
			})
			res, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Version).To(BeNumerically("==", 2))
			Expect(storedConfig(st).Teams[0].Weight).To(Equal(7))
		})
	})

	// Guards against a patch that is accepted and lost because another one was
	// submitted at the same time.
	It("let exactly one of two racing operators win", func() {
		withManagers(2, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			codes := make([]result.Code, 2)
			var wg sync.WaitGroup
			for i := range m {
				wg.Go(func() {
					res, _ := m[i].Patch(ctx, weightPatch(fmt.Sprint("p", i), 1, 10+i))
					codes[i] = res.Code
				})
			}
			wg.Wait()
			Expect(codes).To(ConsistOf(result.Accepted, result.WrongBaseVersion))
			winner := 0
			if codes[1] == result.Accepted {
				winner = 1
			}
			Expect(storedConfig(st).Teams[0].Weight).To(Equal(10 + winner))
			Expect(storedConfig(st).Version).To(BeNumerically("==", 2))
		})
	})

	It("change nothing in a dry run", func() {
		withManagers(1, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			p := weightPatch("p1", 1, 7)
			p.DryRun = true
			res, err := m[0].Patch(ctx, p)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Code).To(Equal(result.OK))
			Expect(storedConfig(st).Version).To(BeNumerically("==", 1))
			p.DryRun = false
			_, err = m[0].Patch(ctx, p)
			Expect(err).NotTo(HaveOccurred())
			p.DryRun = true
			res, err = m[0].Patch(ctx, p)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Message).To(ContainSubstring("accepted before as version 2"))
		})
	})

	It("keep the last 256 ids", func() {
		withManagers(1, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			for i := range uint64(260) {
				_, err := m[0].Patch(ctx, weightPatch(fmt.Sprint("p", i), i+1, 1))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(storedConfig(st).Patches).To(HaveLen(MaxPatchHistory))
			Expect(storedConfig(st).Patches[0].ID).To(Equal("p4"))
		})
	})

	DescribeTable("are refused with every fault and its path",
		func(typ, patch string, code result.Code, problems ...string) {
			withManagers(1, func(ctx context.Context, st *storetest.Store, m []*Manager) {
				m[0].checkGuarantees = func(teams []model.Team) []string {
					if len(teams) > 2 {
						return []string{"team c: 9 x 8 accelerators do not fit"}
					}
					return nil
				}
				res, err := m[0].Patch(ctx, PatchRequest{ID: "p", BaseVersion: 1, Type: typ, Patch: json.RawMessage(patch)})
				Expect(result.CodeOf(err)).To(Equal(code), fmt.Sprint(err))
				all := strings.Join(res.Problems, "\n") + res.Message
				for _, p := range problems {
					Expect(all).To(ContainSubstring(p))
				}
				Expect(storedConfig(st).Version).To(BeNumerically("==", 1))
			})
		},
		Entry("two faults", MergePatch, `{"teams":[{"id":"a","weight":0,"token_hashes":["zz"]},{"id":"a","weight":1}],"colour":1}`, result.InvalidConfig,
			"teams[0].weight", "teams[0].token_hashes[0]", "teams[1].id", "colour: unknown field"),
		Entry("shape", JSONPatch, `[{"op":"add","path":"/teams/0/guarantees/-","value":{"count":0,"tasks":0,"adjacent":"street"}}]`, result.InvalidConfig,
			"teams[0].guarantees[1].count", "teams[0].guarantees[1].tasks", "teams[0].guarantees[1].adjacent", "asks for no resources"),
		Entry("limits", MergePatch, `{"limits":{"max_timeout_ms":70000},"weights":{"fragmentation":2}}`, result.InvalidConfig, "limits.max_timeout_ms", "weights.fragmentation"),
		Entry("reserved fields", MergePatch, `{"version":9,"patches":[]}`, result.InvalidConfig, "version: is set by the system"),
		Entry("does not apply", JSONPatch, `[{"op":"replace","path":"/teams/7/weight","value":1}]`, result.InvalidConfig, "patch:"),
		Entry("wrong type of value", MergePatch, `{"teams":3}`, result.InvalidConfig, "teams"),
		Entry("does not pack", MergePatch, `{"teams":[{"id":"a","weight":1},{"id":"b","weight":1},{"id":"c","weight":1}]}`, result.GuaranteesDoNotPack, "team c"),
		Entry("unknown type", "yaml", `{}`, result.BadRequest, "type"),
		Entry("not JSON", MergePatch, `{`, result.BadRequest, "not valid JSON"),
		Entry("too deep", MergePatch, strings.Repeat(`{"a":`, 40)+"1"+strings.Repeat("}", 40), result.BadRequest, "deeper"),
		Entry("too large", MergePatch, `{"a":"`+strings.Repeat("x", MaxPatchBytes)+`"}`, result.BodyTooLarge, "limit"),
	)

	// Guards against a reply that says "refused" for a version that is in the store,
	// and against one that says "accepted" for a version that is not.
	DescribeTable("are answered according to the document in a faulty store",
		func(op string, fault storetest.Fault, n int64, want ...result.Code) {
			withManagers(1, func(ctx context.Context, st *storetest.Store, m []*Manager) {
				st.SetFaultRule(firstCalls(op, fault, n))
				res, _ := m[0].Patch(ctx, weightPatch("p1", 1, 7))
				Expect(want).To(ContainElement(res.Code), res.Message)
				st.SetFaultRule(nil)
				time.Sleep(10 * time.Second)
				_, present := findPatch(storedConfig(st), "p1")
				switch {
				case res.Code == result.Accepted:
					Expect(present).To(BeTrue())
				case res.Code.NotRun():
					Expect(present).To(BeFalse())
				default:
					Expect(res.Message).To(ContainSubstring("p1"))
				}
				res, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
				Expect(err).NotTo(HaveOccurred())
				Expect(res.Version).To(BeNumerically("==", 2))
			})
		},
		Entry("all down", "", storetest.Down, int64(1<<40), result.StoreUnavailable),
		Entry("reads down twice", storetest.OpGet, storetest.Down, int64(2), result.Accepted),
		Entry("write down", storetest.OpCAS, storetest.Down, int64(1<<40), result.PatchOutcomeUnknown),
		Entry("write down once", storetest.OpCAS, storetest.Down, int64(1), result.Accepted),
		Entry("answer lost", storetest.OpCAS, storetest.AnswerLost, int64(1), result.Accepted),
		Entry("late effect", storetest.OpCAS, storetest.LateEffect, int64(1), result.Accepted),
		Entry("slow", "", storetest.Slow, int64(1<<40), result.Accepted),
	)
})

var _ = Describe("the version in force", func() {
	// Guards against a process that returns to an older version after a stale read.
	It("never decreases, although the store returns older states", func() {
		withManagers(1, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			_, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			st.SetFaultRule(everyCall("", storetest.Stale))
			var calls uint64
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				Expect(m[0].Version()).To(BeNumerically("==", 2))
			}
			for _, n := range st.Calls() {
				calls += n
			}
			Expect(calls).To(BeNumerically("<", 40))
			res, _ := m[0].Patch(ctx, weightPatch("p2", 2, 9))
			Expect(res.Code).To(Equal(result.StoreUnavailable))
		})
	})

	It("comes from a peer when the store is down", func() {
		withManagers(1, func(_ context.Context, st *storetest.Store, m []*Manager) {
			st.SetFaultRule(everyCall("", storetest.Down))
			var seen []uint64
			m[0].OnChange(func(c *model.Config) { seen = append(seen, c.Version) })
			fetch := func(context.Context) ([]byte, error) {
				return []byte(`{"version":5,"teams":[],"weights":{},"limits":{}}`), nil
			}
			m[0].Offer(5, fetch)
			time.Sleep(time.Second)
			synctest.Wait()
			Expect(m[0].Version()).To(BeNumerically("==", 5))
			m[0].Offer(4, fetch)
			Expect(seen).To(Equal([]uint64{1, 5}))
		})
	})

	It("is served to peers that have an older one", func() {
		withManagers(1, func(ctx context.Context, _ *storetest.Store, m []*Manager) {
			reply, err := m[0].serveFetch(ctx, &wire.ConfigFetch{HaveVersion: 0})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Document).NotTo(BeEmpty())
			reply, err = m[0].serveFetch(ctx, &wire.ConfigFetch{HaveVersion: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Document).To(BeEmpty())
		})
	})

	// Guards against an agent that receives the patch history, and against a
	// document that loses other fields together with the history.
	It("is served to agents without the patch history", func() {
		withManagers(1, func(ctx context.Context, _ *storetest.Store, m []*Manager) {
			_, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			full, err := m[0].serveFetch(ctx, &wire.ConfigFetch{HaveVersion: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(full.Document)).To(ContainSubstring("p1"))
			reply, err := m[0].serveFetch(ctx, &wire.ConfigFetch{HaveVersion: 1, OmitHistory: true})
			Expect(err).NotTo(HaveOccurred())
			c, err := parseStored(reply.Document)
			Expect(err).NotTo(HaveOccurred())
			want := *m[0].Current()
			want.Patches = nil
			Expect(*c).To(Equal(want))
			reply, err = m[0].serveFetch(ctx, &wire.ConfigFetch{HaveVersion: 2, OmitHistory: true})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Document).To(BeEmpty())
			withoutHistory, err := WithoutHistory([]byte(`{"version":3,"patches":[{"id":"p"}],"added_later":{"x":1}}`))
			Expect(err).NotTo(HaveOccurred())
			Expect(withoutHistory).To(MatchJSON(`{"version":3,"added_later":{"x":1}}`))
		})
	})

	// Guards against an entry that adopts a version from an agent while the store is
	// down and afterwards stays without the history, returns to an older version,
	// accepts a repeated patch a second time, or reports the version twice.
	It("gets its history from the store after it came from an agent", func() {
		withManagers(2, func(ctx context.Context, st *storetest.Store, m []*Manager) {
			_, err := m[0].Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			reply, err := m[0].serveFetch(ctx, &wire.ConfigFetch{OmitHistory: true})
			Expect(err).NotTo(HaveOccurred())
			st.SetFaultRule(everyCall("", storetest.Down))
			late := New(Options{Store: st})
			var seen []uint64
			late.OnChange(func(c *model.Config) { seen = append(seen, c.Version) })
			Expect(late.Start(ctx)).To(Succeed())
			defer func() { _ = late.Stop(ctx) }()
			late.Offer(2, func(context.Context) ([]byte, error) { return reply.Document, nil })
			time.Sleep(time.Second)
			synctest.Wait()
			Expect(late.Version()).To(BeNumerically("==", 2))
			Expect(late.Current().Patches).To(BeEmpty())

			st.SetFaultRule(nil)
			time.Sleep(2 * maxBackoff)
			synctest.Wait()
			Expect(late.Current().Patches).To(HaveLen(1))
			Expect(late.Document()).To(MatchJSON(m[0].Document()))
			Expect(late.adopt(reply.Document, "peer")).To(Succeed())
			Expect(late.Current().Patches).To(HaveLen(1))
			Expect(seen).To(Equal([]uint64{2}))
			res, err := late.Patch(ctx, weightPatch("p1", 1, 7))
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Version).To(BeNumerically("==", 2))
			Expect(storedConfig(st).Version).To(BeNumerically("==", 2))
		})
	})

	It("is reported with the processes that miss it", func() {
		view := &members.View{
			Entries: map[string]*members.Entry{"e1": {ConfigVersion: 3, Health: members.Alive}, "e2": {ConfigVersion: 2, Health: members.Alive}},
			Workers: map[string]*members.Worker{"w1": {Health: members.Dead, State: wire.WorkerState{ConfigVersion: 3}}, "w2": {Health: members.Suspect, State: wire.WorkerState{ConfigVersion: 4}}},
		}
		r := InForce(view, 3)
		Expect(r).To(Equal(InForceReport{Version: 3, InForce: 2, Total: 4, Missing: []string{"agent w1", "entry e2"}}))
		Expect(r.Complete()).To(BeFalse())
	})
})

// FuzzPatch guards against a patch that crashes the process, takes longer than
// 2 s, or yields an accepted document that cannot be read back.
func FuzzPatch(f *testing.F) {
	for _, seed := range []string{
		`[{"op":"replace","path":"/teams/0/weight","value":3}]`,
		`[{"op":"copy","from":"/teams","path":"/teams/0"},{"op":"remove","path":"/limits"}]`,
		`[{"op":"test","path":"","value":null},{"op":"move","from":"","path":"/a"}]`,
		`{"teams":null,"limits":{"max_body_bytes":-1}}`, `{"a":[[[]]]}`, `null`, `[null]`, `[{}]`, `[{"op":1}]`, ` {}`, `"x"`, `[{"op":"add","path":"/teams/-","value":{"id":"b","weight":1}}]`,
	} {
		f.Add(true, []byte(seed))
		f.Add(false, []byte(seed))
	}
	current, err := parseStored([]byte(`{"version":1,` + firstDocument[1:]))
	if err != nil {
		f.Fatal(err)
	}
	doc, _ := json.Marshal(current)
	m := New(Options{})
	f.Fuzz(func(t *testing.T, merge bool, patch []byte) {
		p := PatchRequest{ID: "f", BaseVersion: 1, Type: JSONPatch, Patch: patch}
		if merge {
			p.Type = MergePatch
		}
		if checkRequest(p) != nil {
			return
		}
		began := time.Now()
		next, _, err := m.buildNext(doc, current, p)
		if took := time.Since(began); took > 2*time.Second {
			t.Fatalf("the patch took %v", took)
		}
		if err != nil {
			return
		}
		data, err := encodeNext(next, p)
		if err != nil {
			return
		}
		if back, err := parseStored(data); err != nil || back.Version != 2 {
			t.Fatalf("accepted document cannot be read back: %v", err)
		}
	})
}
