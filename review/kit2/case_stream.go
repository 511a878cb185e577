package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash-in-stream"] = crashInStream }

const (
	streamEvents   = 24
	streamEventGap = 80 * time.Millisecond
)

// serveStreams is a worker of a model service in a process of its own. Its streams have no length and end with their
// channel.
func serveStreams(id, h string) {
	l := listen(h)
	fmt.Println(l.Addr())
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Expected-Instance"); want != "" && want != id {
			w.Header().Set("X-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") +
			"\r\nX-Response-Signature: 3e1b." + id + "\r\nConnection: close\r\n\r\n"
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		for n := last + 1; n <= streamEvents; n++ {
			time.Sleep(streamEventGap)
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
				return
			}
		}
	}))
}

// streamWorker is the process of serveStreams.
type streamWorker struct {
	process
	id, address string
}

func startStreamWorker(s *store, n int) *streamWorker {
	self, err := os.Executable()
	if err != nil {
		cannotRun("%v", err)
	}
	v := &streamWorker{id: fmt.Sprintf("i-%07d", n)}
	v.name = "worker " + v.id
	v.cmd = exec.Command(self, "serve-streams", v.id, host(60+n))
	out, err := v.cmd.StdoutPipe()
	if err != nil {
		cannotRun("%v", err)
	}
	if err := v.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	ended := make(chan struct{})
	v.ended = ended
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		cannotRun("worker: %v", err)
	}
	go func() { _ = v.cmd.Wait(); close(ended) }()
	v.address = strings.TrimSpace(line)
	processes = append(processes, &v.process)
	s.put("servers", v.id, dict{
		"service": "coltsfoot-pool", "address": v.address, "zone": "zone-1", "version": "v1", "capacity": 12, "state": "ready",
		"warmup_left_ms": 0, "stage": "unified", "models": []dict{{"name": "m", "version": 1}}, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return v
}

// crashInStream kills one of six workers while it streams.
func crashInStream(trouble bool) {
	s := newStore(host(2))
	var workers []*streamWorker
	for i := range 6 {
		workers = append(workers, startStreamWorker(s, i+1))
	}
	c := configuration(1, []dict{{
		"name": "r-note", "host": hostName, "path_prefix": "/lohu930/", "type": "streaming", "timeout_ms": 8000, "target_latency_ms": 500,
		"target_gap_ms": 120, "priority": 1, "service": "coltsfoot-pool", "max_attempts": 2, "public": false, "session_affinity": true, "resumable": true,
	}})
	c["services"] = []dict{{"name": "coltsfoot-pool", "health_path": "/healthz", "max_connections": 218, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 26.0}}
	s.put("config", "main", c)
	gateways := newGateways(2, s)
	startAll(gateways)
	var mu sync.Mutex
	var wg sync.WaitGroup
	stopping := make(chan struct{})
	complete, cut, short := 0, 0, 0
	for i := range 24 {
		gateway := gateways[i%2].caller
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 83 * time.Millisecond)
			for {
				select {
				case <-stopping:
					return
				default:
				}
				ch, err := dial(gateway)
				if err != nil {
					continue
				}
				a := ch.send(http.MethodPost, "/lohu930/2f", []byte(strings.Repeat("p", 700)), 8*time.Second)
				ch.close()
				events := strings.Count(a.answer, "\ndata: ")
				mu.Lock()
				what := ""
				switch {
				case a.status == 200 && events == streamEvents:
					complete++
				case a.status == 200:
					short++
					what = "  <- ended as complete before its last event"
				default:
					cut++
				}
				record("%s sent at %.3f s to %s: %d %s, %d of %d events%s", a.id, a.sentAt.Sub(startedAt).Seconds(), gateway, a.status, a.problem, events, streamEvents, what)
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		workers[2].kill()
		record("%s crashes", workers[2].name)
	}
	time.Sleep(2 * time.Second)
	close(stopping)
	wg.Wait()
	record("streams: %d complete, %d ended with an error or a closed channel, %d ended as complete before their last event", complete, cut, short)
	if short > 0 {
		record("ORDER is broken")
		finish(1)
	}
	finish(0)
}
