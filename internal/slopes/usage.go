package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// usage is the processor time and the bytes read and written by a process since its start.
type usage struct {
	cpu   time.Duration
	bytes int64
	// resident is the current resident memory in bytes.
	resident int64
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	var u usage
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return u, err
	}
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if err != nil {
			// The thread has ended since Glob listed it.
			continue
		}
		ns, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(ns)
	}
	fields, err := readCounters(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.bytes = fields["rchar"] + fields["wchar"]
	fields, err = readCounters(fmt.Sprintf("/proc/%d/status", pid))
	u.resident = fields["VmRSS"] << 10
	return u, err
}

// readCounters reads a file with lines of the form "name: number"; other lines are skipped.
func readCounters(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		n, err := strconv.ParseInt(words[0], 10, 64)
		if err == nil {
			out[name] = n
		}
	}
	return out, nil
}

// ownCPU returns the user and system time of this process.
func ownCPU() (time.Duration, error) {
	var r syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), err
}

// memoryInUse returns the bytes of the heap and of the stacks in use in this process, after a
// garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// line is a straight line: intercept + slope*x.
type line struct{ intercept, slope float64 }

// fitLine returns the least-squares line through the points.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{intercept: (sy - slope*sx) / n, slope: slope}
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }
