// Package logtable reads the log lines of gateways and counts how their requests ended, so that
// operators see at which moments, on which routes and for which reasons requests were not served.
//
// The package has no clock and no goroutines.
package logtable

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/samber/oops"
)

// Key identifies a group of requests that ended alike.
type Key struct {
	// Start is the beginning of the interval in which the requests ended.
	Start time.Time
	// Route, Status and Reason are those of the log lines. Status "0" is a response that was cut
	// short.
	Route  string
	Status string
	Reason string
}

// Row is a group with its size and the longest wait for a permit in it.
type Row struct {
	Key
	Count       int
	LongestWait time.Duration
}

const (
	// endEvent is the event that gateways log at the end of each request.
	endEvent = "request-ended"
	// lineStart is the first key of each log line. What stands before it, such as the name of the
	// instance that a collector adds, is ignored.
	lineStart = "time="
	// maxLineBytes is the length of the longest line that is read.
	maxLineBytes = 1 << 20
)

// Read counts the ends of requests in a log by intervals of the given length. It returns the groups in
// the order of time, and the number of lines that are not log lines.
func Read(r io.Reader, interval time.Duration) (rows []Row, skipped int, err error) {
	groups := map[Key]*Row{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		fields, ok := parseLine(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		if fields["event"] != endEvent {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			skipped++
			continue
		}
		addEnd(groups, at.Truncate(interval), fields)
	}
	return sortRows(groups), skipped, oops.Wrapf(lines.Err(), "read log")
}

// parseLine returns the fields of a log line. It reports false for other text.
func parseLine(line []byte) (map[string]string, bool) {
	start := bytes.Index(line, []byte(lineStart))
	if start < 0 {
		return nil, false
	}
	fields := map[string]string{}
	d := logfmt.NewDecoder(bytes.NewReader(line[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields, d.Err() == nil
}

// addEnd adds the end of a request to its group.
func addEnd(groups map[Key]*Row, start time.Time, fields map[string]string) {
	k := Key{Start: start, Route: fields["route"], Status: fields["status"], Reason: fields["reason"]}
	g := groups[k]
	if g == nil {
		g = &Row{Key: k}
		groups[k] = g
	}
	g.Count++
	if waited, err := time.ParseDuration(fields["waited"]); err == nil {
		g.LongestWait = max(g.LongestWait, waited)
	}
}

func sortRows(groups map[Key]*Row) []Row {
	rows := make([]Row, 0, len(groups))
	for _, g := range groups {
		rows = append(rows, *g)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := a.Start.Compare(b.Start); c != 0 {
			return c
		}
		return strings.Compare(a.Route+a.Status+a.Reason, b.Route+b.Status+b.Reason)
	})
	return rows
}
