package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Process is one process of the fleet.
type Process struct {
	Name string
	// OperatorAddress is the host:port for operators; it is empty for stand-ins.
	OperatorAddress string

	binaryPath string
	args       []string
	logPath    string
	cmd        *exec.Cmd
	// ended is closed when the present incarnation has ended, and killed is set once it got SIGKILL.
	ended  chan struct{}
	killed atomic.Bool
}

// start starts the process and appends its output to its log file.
func (p *Process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.binaryPath, p.args...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	p.killed.Store(false)
	go func() {
		// The error is ignored, as the exit code is read from cmd.ProcessState.
		_ = p.cmd.Wait()
		out.Close()
		close(ended)
	}()
	return nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits for the end of the process and returns its exit code. It returns an error after
// the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("process %s did not end within %s", p.Name, timeout)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Log returns the output of all incarnations of the process, or an empty text when its log file
// cannot be read.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// waitReady waits until the process is ready. It returns an error at once when the process ends.
func (p *Process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A restart replaces the channel; this call waits for the present incarnation.
	ended := p.ended
	go func() {
		select {
		case <-ended:
			cancel(fmt.Errorf("process %s ended before it was ready", p.Name))
		case <-ctx.Done():
		}
	}()
	return waitHTTP(ctx, "http://"+p.OperatorAddress+"/readyz")
}

// waitHTTP waits until url responds with status 200.
func waitHTTP(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(context.Cause(ctx), fmt.Errorf("%s is not ready", url))
		case <-time.After(readyPollInterval):
		}
	}
}

// readyPollInterval is the time between two polls of a URL that is not ready.
const readyPollInterval = 20 * time.Millisecond

// Ports are chosen below the usual range of ephemeral ports, so that an outgoing connection
// does not take a port between its choice here and the start of the process that listens on it.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// portCounter is the number of ports tried so far.
var portCounter atomic.Int64

// loopbackHost is a loopback address derived from the process ID, so that test processes that
// run concurrently do not choose the same addresses.
var loopbackHost = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16&0x7f, os.Getpid()>>8&0xff, os.Getpid()&0xff)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + portCounter.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", loopbackHost, port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("fleet: no free port on the loopback address")
}

// newProcess adds a process to the fleet without starting it.
func (f *Fleet) newProcess(name, binary, operatorAddress string, args ...string) *Process {
	p := &Process{
		Name:            name,
		OperatorAddress: operatorAddress,
		binaryPath:      filepath.Join(f.opts.BinDir, binary),
		args:            args,
		logPath:         filepath.Join(f.opts.WorkDir, name+".log"),
	}
	f.Processes[name] = p
	f.startOrder = append(f.startOrder, name)
	return p
}
