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

// Bounds of the job index.
const (
	// Pages is the number of pages of a region. It is part of the layout in the
	// store and cannot change without a migration.
	Pages = 64
	// MaxPageBytes is the size above which a page takes no new job. The distance
	// to the 1 MB limit of the store leaves room for records to grow.
	MaxPageBytes = 900 << 10
	// MaxRecordBytes bounds the record of a new job.
	MaxRecordBytes = 32 << 10
	// EndedJobRetention is the time for which ended jobs stay on their page.
	EndedJobRetention = 24 * time.Hour
)

// PageOf returns the page of a job.
func PageOf(id string) int { return int(xxhash.Sum64String(id) % Pages) }

// PageKey returns the key of a page in the store.
func PageKey(region string, page int) string {
	return fmt.Sprintf("snipegw/jobs/%s/%02d", region, page)
}

// Record is a job on its page.
type Record struct {
	Status model.JobStatus `json:"status"`
	// Members are the agents of the present attempt.
	Members []wire.Member `json:"members,omitempty"`
}

// pageDoc is a page in the store. Epoch and Seq identify the write.
type pageDoc struct {
	Epoch uint64            `json:"epoch"`
	Seq   uint64            `json:"seq"`
	Jobs  []json.RawMessage `json:"jobs"`
}

// encode returns the page as JSON. The jobs are already encoded, so they are
// copied and not parsed again.
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

func decodePage(data []byte) (*pageDoc, error) {
	d := new(pageDoc)
	if len(data) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("job page: %w", err)
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

// page is the planner's copy of a page. It is owned by the goroutine of the
// term.
type page struct {
	index        int
	key          string
	jobs         map[string]*job
	encodedBytes int // of the encoded jobs, as of their last encoding

	rev      uint64
	revKnown bool
	seq      uint64 // of the last durable write

	version         uint64 // grows with every change
	durableVersion  uint64 // version of the last durable write
	inFlightVersion uint64 // version that is being written; 0 if none
	// failing is set while the write in flight has had an error from the store.
	failing bool
	waiters []waiter
}

// waiter is told when a version is durable, or that it will not be.
type waiter struct {
	version uint64
	done    func(err error)
	// withdraw is set for a change that can be undone while it has not been sent
	// to the store.
	withdraw func()
}

func newPage(region string, index int) *page {
	return &page{index: index, key: PageKey(region, index), jobs: make(map[string]*job)}
}

// snapshot encodes the page for a write.
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
	return doc
}

// encodeJob returns the JSON of j and keeps the size of the page.
func (p *page) encodeJob(j *job) []byte {
	if j.encoded == nil {
		data, err := json.Marshal(&j.rec)
		if err != nil {
			// Record holds strings and numbers only, which always encode.
			panic(err)
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
