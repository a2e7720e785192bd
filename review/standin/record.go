package main

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// event is one line of the record.
type event struct {
	// At is the Unix time in milliseconds.
	At int64 `json:"at"`
	// Who is the process or the stand-in that wrote the line, What is what happened.
	Who  string `json:"who"`
	What string `json:"what"`
	// Task, Run and How belong to starts and ends of runs, Born to the life of an upstream.
	Task string `json:"task,omitempty"`
	Run  int64  `json:"run,omitempty"`
	How  string `json:"how,omitempty"`
	Born int64  `json:"born,omitempty"`
	// Job, Status and Body belong to calls and their answers.
	Job    string `json:"job,omitempty"`
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// record is the file to which all stand-ins append, each line with one write.
type record struct {
	path string
	mu   sync.Mutex
	file *os.File
}

// newRecord creates an empty record.
func newRecord(path string) (*record, error) {
	if err := os.WriteFile(path, nil, 0o644); err != nil {
		return nil, err
	}
	return openRecord(path)
}

// openRecord opens a record to append to it.
func openRecord(path string) (*record, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	return &record{path: path, file: f}, err
}

// write appends an event, at the present time unless it has one.
func (r *record) write(e event) {
	if e.At == 0 {
		e.At = time.Now().UnixMilli()
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(line, '\n'))
}

// events returns what was written so far, by all processes.
func (r *record) events() ([]event, error) {
	f, err := os.Open(r.path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []event
	for s := bufio.NewScanner(f); s.Scan(); {
		var e event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}
