package wire

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"snipegw/internal/model"
)

// messages returns one value of each message type that a process receives.
func messages() []any {
	state := &WorkerState{
		Worker: model.Worker{ID: "w1", Capacity: model.Resources{Accelerators: 8}}, Incarnation: "1", Seq: 3, Address: "127.0.0.1:1",
		Services: []ServiceState{{Service: "pricing", Slots: 8, Healthy: true}},
		Gangs:    []GangState{{Job: "j", Attempt: 1, State: "running", Ranks: []int{0, 1}}},
	}
	member := Member{Worker: "w1", Address: "127.0.0.1:1", Incarnation: "1", Ranks: []int{0}}
	return []any{
		&RequestHead{ID: "r", Team: "a", Method: "GET", Header: []HeaderField{{"Accept", "*/*"}}, BodyBytes: -1},
		&Admission{Fault: &Fault{Code: 301, Message: "full"}}, &ResponseHead{Status: 200, BodyBytes: 3},
		&TicketIssue{Service: "s"}, &TicketReply{Ticket: "w/1/2"}, &TicketQuery{Ticket: "w/1/2"},
		&Reserve{Job: "j", Ranks: []int{0}}, &Release{Job: "j"}, &StartGang{Members: []Member{member}}, &StopGang{Job: "j"},
		&WorkerOrder{Action: "drain"}, &GangOrder{Members: []Member{member}}, &MemberReport{Tasks: []TaskReport{{Rank: 1, State: "running"}}},
		&Handover{Job: "j"}, &Heartbeat{Worker: "w1", Incarnation: "1", Seq: 3, State: state, Events: []GangEvent{{Seq: 1, Job: "j"}}},
		&HeartbeatReply{NeedState: true, Entries: []EntryInfo{{ID: "e"}}}, &ConfigFetch{HaveVersion: 2}, &ConfigReply{Document: []byte("{}")},
		&PeerUpdate{From: EntryInfo{ID: "e"}, Full: true, States: []WorkerState{*state}, Silent: []SilentWorker{{Worker: "w2", AgeMS: 3}}},
		&PeerReply{Acks: []EventAck{{Worker: "w1", Seq: 2}}}, &JobSubmit{Job: model.Job{ID: "j"}}, &JobQuery{ID: "j"},
		&JobReply{}, &JobCancel{IDs: []string{"j"}}, &JobCancelReply{}, &JobListQuery{Limit: 3}, &JobListReply{}, &PlannerOrder{Worker: "w"}, &Ack{Epoch: 3}, &Fault{Code: 1},
	}
}

// FuzzUnmarshal guards against input from a peer that crashes the decoder, and
// against messages that change when they are decoded and encoded again.
func FuzzUnmarshal(f *testing.F) {
	for i, m := range messages() {
		data, err := Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), data)
	}
	// Malformed input for message 14, a Heartbeat.
	f.Add(uint8(14), []byte{0xbf})                             // indefinite length
	f.Add(uint8(14), []byte{0x9b, 0, 0, 0, 1, 0, 0, 0, 0})     // huge array
	f.Add(uint8(14), []byte{0xa2, 1, 0x61, 'a', 1, 0x61, 'b'}) // duplicate map key
	f.Fuzz(func(t *testing.T, messageIndex uint8, data []byte) {
		all := messages()
		typ := reflect.TypeOf(all[int(messageIndex)%len(all)]).Elem()
		first := reflect.New(typ).Interface()
		if Unmarshal(data, first) != nil {
			return
		}
		encoded, err := Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second := reflect.New(typ).Interface()
		if err := Unmarshal(encoded, second); err != nil {
			t.Fatalf("decoding the output of Marshal failed: %v", err)
		}
		encodedAgain, err := Marshal(second)
		if err != nil || string(encodedAgain) != string(encoded) {
			t.Fatalf("encoding changed: %x, %x, %v", encoded, encodedAgain, err)
		}
	})
}

// Guards against documents that change on the wire, and against a short message
// that expands beyond the size limit when it is decompressed.
func TestDocumentIsCompressedAndBounded(t *testing.T) {
	for _, n := range []int{0, 1, 100_000} {
		text := bytes.Repeat([]byte("a"), n)
		data, err := Marshal(&ConfigReply{Version: 2, Document: text})
		if err != nil {
			t.Fatal(err)
		}
		var reply ConfigReply
		if err := Unmarshal(data, &reply); err != nil || !bytes.Equal(reply.Document, text) || reply.Version != 2 {
			t.Fatalf("%d bytes became %d: %v", n, len(reply.Document), err)
		}
		if n > 1000 && len(data) > n/100 {
			t.Fatalf("%d bytes take %d on the wire", n, len(data))
		}
	}
	data, err := Marshal(&ConfigReply{Document: make([]byte, MaxMessageBytes+1)})
	if err != nil {
		t.Fatal(err)
	}
	if err := Unmarshal(data, &ConfigReply{}); err == nil {
		t.Fatal("accepted a document above the limit")
	}
}

// Guards against a restarted process whose incarnation does not compare greater
// than that of its predecessor.
func TestIncarnationsCompareInOrderOfTime(t *testing.T) {
	now := time.Now()
	last := NewIncarnation(time.UnixMicro(0))
	for _, at := range []time.Time{now, now.Add(time.Microsecond), now.Add(time.Second), now.AddDate(200, 0, 0)} {
		next := NewIncarnation(at)
		if next <= last || len(next) != len(last) {
			t.Fatalf("incarnation %q does not sort after %q", next, last)
		}
		last = next
	}
}

// Guards against agents that repeatedly receive an unchanged list of entries,
// since its order or a renewal time changes its hash.
func TestHashEntriesIgnoresOrderAndRenewal(t *testing.T) {
	a, b := EntryInfo{ID: "a", Address: "1"}, EntryInfo{ID: "b", Address: "2"}
	want := HashEntries([]EntryInfo{a, b})
	b.UpdatedMS = 7
	if got := HashEntries([]EntryInfo{b, a}); got != want {
		t.Fatalf("hash %x after reordering and renewal, want %x", got, want)
	}
	b.Address = "3"
	if HashEntries([]EntryInfo{a, b}) == want {
		t.Fatal("a changed address does not change the hash")
	}
}
