package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	lines int
}

// maxRecordLines limits the record; some cases start thousands of work items.
const maxRecordLines = 20_000

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, begin: time.Now()}, err
}

// Printf adds a line with the seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines++; r.lines > maxRecordLines {
		return
	}
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
