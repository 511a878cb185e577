package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// ReadLedgers reads the ledgers of the upstream stand-ins whose names begin with prefix.
func ReadLedgers[T any](f *Fleet, prefix string) ([]T, error) {
	var out []T
	for name, url := range f.StandinURLs {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		l, err := ReadLedger[T](url)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// ReadLedger reads the ledger of the upstream stand-in at a base URL.
func ReadLedger[T any](url string) (T, error) {
	var l T
	resp, err := http.Get(url + "/ledger")
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&l)
	return l, err
}

// Crash crashes the model engine of an agent.
func (f *Fleet) Crash(upstream string) error {
	resp, err := http.Post(f.StandinURLs[upstream]+"/crash", "", nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// crashMarkers are the line beginnings that a Go process writes on a crash or a data race.
var crashMarkers = []string{"WARNING: DATA RACE", "panic: ", "fatal error: "}

// maxQuotedLogBytes is the maximum length of the part of a log that CrashReports
// returns.
const maxQuotedLogBytes = 4000

// CrashReports returns, for each process that crashed or reported a data race, its name and the part
// of its log that begins with the report.
func (f *Fleet) CrashReports() []string {
	var out []string
	for name, p := range f.Processes {
		log := p.Log()
		for _, marker := range crashMarkers {
			if index := strings.Index(log, "\n"+marker); index >= 0 {
				out = append(out, name+": "+log[index:min(len(log), index+maxQuotedLogBytes)])
				break
			}
		}
	}
	return out
}

// ReadMetric reads a metric without labels from the process with an operators' address. It
// reports false when the process has no such metric.
func ReadMetric(operatorAddress, name string) (float64, bool, error) {
	resp, err := http.Get("http://" + operatorAddress + "/metrics")
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, err := strconv.ParseFloat(text, 64)
			return v, true, err
		}
	}
	return 0, false, lines.Err()
}

// SumMetric returns the sum of a metric over all running processes.
func (f *Fleet) SumMetric(name string) (float64, error) {
	sum := 0.0
	for _, a := range f.OperatorAddresses() {
		v, _, err := ReadMetric(a, name)
		if err != nil {
			return 0, fmt.Errorf("metrics of %s: %w", a, err)
		}
		sum += v
	}
	return sum, nil
}

// SortedEntryAddresses returns the addresses of all entries for callers, sorted.
func (f *Fleet) SortedEntryAddresses() []string {
	var out []string
	for _, a := range f.EntryAddresses {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}
