package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipegw/internal/model"
	"snipegw/internal/wire"
)

// Limits of the job index.
const (
	// PageCount is the number of pages of a region. The layout in the store depends on
	// it, so it cannot change without a migration.
	PageCount = 64
	// MaxPageBytes is the size in bytes above which a page accepts no new job. The
	// difference from the store's limit of 1 MB leaves room for records to grow.
	MaxPageBytes = 900 << 10
	// MaxRecordBytes bounds the encoded record of a new job.
	MaxRecordBytes = 32 << 10
	// EndedJobRetention is how long ended jobs stay on their page. They are dropped
	// earlier if the page is full.
	EndedJobRetention = 24 * time.Hour
)

// PageOf returns the index of the page that holds a job.
func PageOf(id string) int { return int(xxhash.Sum64String(id) % PageCount) }

// PageKey returns the key of a page in the store.
func PageKey(region string, page int) string {
	return fmt.Sprintf("snipegw/jobs/%s/%02d", region, page)
}

// Record is the stored form of a job on its page.
type Record struct {
	Status model.JobStatus `json:"status"`
	// Members are the agents of the current attempt.
	Members []wire.Member `json:"members,omitempty"`
}

// pageDoc is the stored form of a page. Epoch and Seq identify the write: the
// epoch of the planner and the number of the write in its term.
type pageDoc struct {
	Epoch uint64            `json:"epoch"`
	Seq   uint64            `json:"seq"`
	Jobs  []json.RawMessage `json:"jobs"`
}

// encode returns the page as JSON. It copies the jobs, which are encoded already;
// json.Marshal would parse them again.
func (d *pageDoc) encode() []byte {
	size := 64
	for _, j := range d.Jobs {
		size += len(j) + 1
	}
	b := bytes.NewBuffer(make([]byte, 0, size))
	b.WriteString(`{"epoch":`)
	b.WriteString(strconv.FormatUint(d.Epoch, 10))
	b.WriteString(`,"seq":`)
	b.WriteString(strconv.FormatUint(d.Seq, 10))
	b.WriteString(`,"jobs":[`)
	for i, j := range d.Jobs {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(j)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// decodePage decodes a page from the store. Empty data is a page that has never
// been written.
func decodePage(data []byte) (*pageDoc, error) {
	d := new(pageDoc)
	if len(data) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("decode job page: %w", err)
	}
	return d, nil
}

// find returns the record of a job on the page.
func (d *pageDoc) find(id string) (Record, bool) {
	for _, raw := range d.Jobs {
		var r Record
		if json.Unmarshal(raw, &r) == nil && r.Status.Job.ID == id {
			return r, true
		}
	}
	return Record{}, false
}

// page is the planner's copy of a page. The goroutine of the term owns it.
type page struct {
	index int
	key   string
	jobs  map[string]*job
	// damaged holds the records that cannot be decoded, as they were read. Every write
	// keeps them, so that an operator or a later version can still read them.
	damaged      []json.RawMessage
	encodedBytes int // total size of the damaged records, and of the jobs when they were last encoded

	rev      uint64 // revision of the page in the store; valid if revKnown is set
	revKnown bool
	seq      uint64 // number of the last durable write

	version         uint64 // incremented by every change
	durableVersion  uint64 // version of the last durable write
	inFlightVersion uint64 // version of the write in flight; 0 if there is none
	// failing is set from an error of the store until the write in flight is
	// durable.
	failing bool
	waiters []waiter
}

// waiter is a callback for a version of a page.
type waiter struct {
	version uint64
	// done is called once: with nil when the version is durable, or with an error
	// when the change is withdrawn or the term ends.
	done func(err error)
	// withdraw undoes a change that has not been sent to the store. It is nil if
	// the change cannot be undone.
	withdraw func()
}

func newPage(region string, index int) *page {
	return &page{index: index, key: PageKey(region, index), jobs: make(map[string]*job)}
}

// snapshot returns the page as the next write stores it, with the jobs in order
// of their ids and the damaged records behind them.
func (p *page) snapshot(epoch uint64) *pageDoc {
	ids := make([]string, 0, len(p.jobs))
	for id := range p.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	doc := &pageDoc{Epoch: epoch, Seq: p.seq + 1, Jobs: make([]json.RawMessage, 0, len(ids))}
	for _, id := range ids {
		doc.Jobs = append(doc.Jobs, p.encodeJob(p.jobs[id]))
	}
	doc.Jobs = append(doc.Jobs, p.damaged...)
	return doc
}

// encodeJob returns the JSON of j and keeps the size of the page up to date.
func (p *page) encodeJob(j *job) []byte {
	if j.encoded == nil {
		data, err := json.Marshal(&j.rec)
		if err != nil {
			panic(err) // a Record holds only strings and numbers, which always encode
		}
		p.encodedBytes += len(data) + 1 - j.encodedSize
		j.encodedSize = len(data) + 1
		j.encoded = data
	}
	return j.encoded
}

func (p *page) remove(j *job) {
	delete(p.jobs, j.id())
	p.encodedBytes -= j.encodedSize
	j.encodedSize = 0
}

// endedJobs returns the ended jobs, the oldest first.
func (p *page) endedJobs() []*job {
	var list []*job
	for _, j := range p.jobs {
		if j.rec.Status.State.Final() {
			list = append(list, j)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		return list[a].rec.Status.EndedMS < list[b].rec.Status.EndedMS
	})
	return list
}
