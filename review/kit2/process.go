package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is limits.memory_mb of an edge machine.
const memoryMB = 284

var (
	startedAt = time.Now()
	recordMu  sync.Mutex
	recordTo  *os.File
	workDir   string
	processes []*process
)

// record writes a line to record.txt, with the time since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(startedAt).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(recordTo, line)
	fmt.Println(line)
}

// cannotRun ends the case with the status of one that could not run.
func cannotRun(format string, args ...any) {
	record("the case cannot run: "+format, args...)
	finish(2)
}

// finish ends all processes and the case.
func finish(status int) {
	for _, p := range processes {
		p.kill()
	}
	if workDir != "" {
		os.RemoveAll(workDir)
	}
	record("exit status %d", status)
	os.Exit(status)
}

// process is a process of the project on a loopback address of its own.
type process struct {
	name, host, program string
	settings            string
	caller, ready, peer string
	directory           string
	cmd                 *exec.Cmd
	ended               chan struct{}
	starts              int
	logPath             string
}

// root is the root of the repository, from which the programs start.
var root string

// host returns a loopback address that other runs hardly use.
func host(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff, n)
}

func freePort(host string) int {
	l := listen(host)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

const bounds = `bounds:
  contact_ms: 3000
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  downgrade_slack_ms: 250
  max_skew_ms: 5000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_allowance: 94
  warmup_overage: 1.5
  warmup_allowance: 5
  evacuate_ms: 5000
  recover_s: 12
  iteration_ms: 120
  stall_ms: 1500
  ttl_max_s: 5
`

// newGateways returns gateways with the settings of edge machines, which are not started.
func newGateways(count int, s *store) []*process {
	ports := make([]int, 4)
	for i := range ports {
		ports[i] = freePort(host(10))
	}
	first := 21000 + os.Getpid()%5000
	var out []*process
	var seeds []string
	for i := range count {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("  - %q\n", net.JoinHostPort(host(10+i), strconv.Itoa(ports[2]))))
		}
	}
	for i := range count {
		h := host(10 + i)
		p := &process{name: fmt.Sprintf("edge-%d", i+1), host: h, program: "target/coltsfoot-gateway"}
		at := func(k int) string { return net.JoinHostPort(h, strconv.Itoa(ports[k])) }
		p.caller, p.ready, p.peer, p.directory = at(0), at(1), at(2), at(3)
		p.settings = fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "edge"
serves: ["edge", "registry", "control"]
ip: %q
zone: "zone-%d"
region: "region-a"
listen:
  frontend: %q
  ready: %q
  control_plane: %q
  directory: %q
port_range: [%d, %d]
seeds:
%sfirst_start: true
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: %d
  max_fds: 4100
  bandwidth_mbps: 1000.0
  disk_mb: 0
discovery: "platform"
entry: "registry"
heartbeat_ms: 1200
%splatform:
  address: %q
  form: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
`, p.name, h, i%3+1, p.caller, p.ready, p.peer, p.directory, first, first+15, strings.Join(seeds, ""), memoryMB, bounds, s.address)
		out = append(out, p)
		processes = append(processes, p)
	}
	return out
}

// start starts the process and waits until it has the answer to its readiness check.
func (p *process) start() {
	settingsPath := filepath.Join(workDir, p.name+".yaml")
	if err := os.WriteFile(settingsPath, []byte(p.settings), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	p.logPath = filepath.Join(workDir, p.name+".log")
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	p.cmd = exec.Command(filepath.Join(root, p.program))
	p.cmd.Dir = root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "COLTSFOOTPITCH_BOOT=" + settingsPath}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		cannotRun("start of %s: %v", p.program, err)
	}
	p.starts++
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(ended)
	}()
	record("%s started, process %d", p.name, p.cmd.Process.Pid)
}

// waitReady waits until the process is ready.
func (p *process) waitReady(timeout time.Duration) {
	end := time.Now().Add(timeout)
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		resp, err := client.Get("http://" + p.ready + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	text, _ := os.ReadFile(p.logPath)
	cannotRun("%s is not ready: %s", p.name, text)
}

func (p *process) isRunning() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.isRunning() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	if p.isRunning() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// memoryInUse returns the memory of the process in MB without that of files, such as its program; 0 if it does not run.
func (p *process) memoryInUse() float64 {
	if !p.isRunning() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, _ := strconv.Atoi(strings.Fields(string(rest))[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// watchMemory acts as the platform: a process that exceeds memory_mb is killed, and started again after a short
// delay. It returns a function that ends it and returns how often each process was killed, and the highest memory of
// any of them in MB.
func watchMemory(gateways []*process) (stop func() (kills map[string]int, peak float64)) {
	done, ended := make(chan struct{}), make(chan struct{})
	kills := map[string]int{}
	peak := 0.0
	go func() {
		defer close(ended)
		lastRecord := time.Now()
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			line := ""
			for _, p := range gateways {
				mb := p.memoryInUse()
				peak = max(peak, mb)
				line += fmt.Sprintf(" %s %.0f MB", p.name, mb)
				if mb > memoryMB {
					p.kill()
					kills[p.name]++
					record("%s exceeds memory_mb = %d with %.0f MB: the platform kills it", p.name, memoryMB, mb)
					time.AfterFunc(500*time.Millisecond, p.start)
				}
			}
			if time.Since(lastRecord) > 5*time.Second {
				lastRecord = time.Now()
				record("memory:%s", line)
			}
		}
	}()
	return func() (map[string]int, float64) {
		close(done)
		<-ended
		time.Sleep(600 * time.Millisecond)
		return kills, peak
	}
}
