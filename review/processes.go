//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench has the processes and the record of one case.
type bench struct {
	trouble   bool
	startedAt time.Time
	dir       string
	network   string
	store     *store
	gateways  []*gateway
	// seeds is the list of seeds in the settings, and processes has all that were started.
	seeds     string
	processes []*exec.Cmd

	mu     sync.Mutex
	record *os.File
}

// gateway is a process of the project.
type gateway struct {
	name, address, ready string
}

func newBench(record string, trouble bool) (*bench, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	b := &bench{trouble: trouble, startedAt: time.Now(), dir: dir, record: f}
	// Gateways serve metrics on a fixed port, so each has a loopback address of its own.
	b.network = fmt.Sprintf("127.%d.%d.", 1+pid/250%250, 1+pid%250)
	b.logf("case begins, trouble %v", trouble)
	b.store = newStore()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		b.close()
		os.Exit(exitNotRun)
	}()
	return b, nil
}

// close ends all processes that the case started.
func (b *bench) close() {
	for _, p := range b.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// logf writes a line to the record, with the seconds since the start.
func (b *bench) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddresses returns host:port pairs that are free on a loopback address.
func freeAddresses(ip string, n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		defer l.Close() // all stay open until all are chosen, so that they differ
		out = append(out, l.Addr().String())
	}
	return out
}

// workerAddress returns the address of a new worker. Workers have a loopback address of their own, so that no
// outgoing channel takes the port of one that is down.
func (b *bench) workerAddress() string { return b.network + "200:0" }

// settingsText is the settings file of a gateway, with the bounds of the site beet-intake.
const settingsText = `node_name: "%[1]s"
role: "gateway"
machine_class: "edge"
serves: ["edge", "registry", "control"]
ip: "%[2]s"
zone: "gate-north"
region: "trondelag"
zones:
  gate-north: "trondelag"
listen:
  frontend: "%[3]s"
  ready: "%[4]s"
  control_plane: "%[5]s"
  directory: "%[6]s"
port_range: [7340, 7355]
seeds: [%[7]s]
first_start: true
discovery: "platform"
entry: "registry"
heartbeat_ms: 1200
bounds:
  contact_ms: 3000
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_allowance: 94
  warmup_overage: 1.5
  warmup_allowance: 5
  evacuate_ms: 5000
  stall_ms: 1500
  ttl_max_s: 5
platform:
  address: "%[8]s"
  form: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
`

// startGateways starts gateways with the command of the deploy file and waits until they are ready.
func (b *bench) startGateways(n int, storeAddress string) {
	const listeners = 4
	var addresses [][]string
	var control []string
	for i := range n {
		a := freeAddresses(fmt.Sprintf("%s%d", b.network, i+1), listeners)
		addresses = append(addresses, a)
		control = append(control, a[2])
	}
	b.seeds = `"` + strings.Join(control, `", "`) + `"`
	for i := range n {
		ip := fmt.Sprintf("%s%d", b.network, i+1)
		a := addresses[i]
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), address: a[0], ready: a[1]}
		b.start(g.name, "target/coltsfoot-gateway", fmt.Sprintf(settingsText, g.name, ip, g.address, g.ready, a[2], a[3], b.seeds, storeAddress))
		b.gateways = append(b.gateways, g)
	}
	for _, g := range b.gateways {
		b.waitUntilReady(g)
	}
}

// start starts a program of the project with a settings file.
func (b *bench) start(name, program, settings string) {
	path := filepath.Join(b.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		panic(err)
	}
	p := exec.Command(program)
	p.Env = []string{"COLTSFOOTPITCH_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if prefix := os.Getenv("PROCESS_LOG"); prefix != "" {
		log, err := os.Create(prefix + "-" + name)
		if err != nil {
			panic(err)
		}
		p.Stdout, p.Stderr = log, log
	}
	if err := p.Start(); err != nil {
		panic(err)
	}
	b.processes = append(b.processes, p)
	b.logf("started %s as %s, process %d", program, name, p.Process.Pid)
}

func (b *bench) waitUntilReady(g *gateway) {
	const limit = 15 * time.Second
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	panic(g.name + " did not become ready")
}
