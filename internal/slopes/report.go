package main

import (
	"fmt"
	"io"
	"time"
)

// The size aimed for.
const (
	fullNodes    = 1600
	fullWorkers  = 12_000
	fullZones    = 9
	fullOrgs     = 3600
	fullEdits    = 10_000
	fullGroups   = 750
	fullReplaced = 1300 + 150
	day          = 86_400.0
	// fullRate is in requests and fullTokens in tokens a second over all entries.
	fullRate   = 74_000
	fullTokens = 27_000_000
)

// What the mechanisms are set to.
const (
	probeInterval = 3.0 // seconds
	watchInterval = 10.0
	leaseInterval = 5.0
	watchers      = 3
	candidates    = 3
	relaysPerZone = 2
	shardsPerSeat = 64
	statusToday   = 0.5 // seconds between two status calls, the default
	// listChanges is the number of changes of the instance list for each replaced instance:
	// leaving, gone, new.
	listChanges = 3
	// instanceBytes is the size of an instance in the list.
	instanceBytes = 250
)

// rates are the measured figures. Times are processor time.
type rates struct {
	status, probe exchange
	// connection is in bytes of memory, both ends together.
	connection float64
	// update and whole are in bytes.
	update, whole float64
	// diffCPU, of the process that makes an update, and takeCPU, of one that takes it, are in
	// nanoseconds over organisations; holder is in bytes.
	diffCPU, takeCPU, holder line
	watched                  float64
	subsetCPU                time.Duration
	// Over agents: entries. Over entries: agents. CPU in cores, bytes a second, bytes.
	entryCPU, entryBytes, entryRSS line
	agentCPU, agentBytes, agentRSS line
	controller                     cost
	// Streams over tokens, in cores times seconds.
	entryStream, agentStream line
}

// report prints the slopes and what they come to at the size aimed for.
func (r *rates) report(w io.Writer) {
	p := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	p("")
	p("Slopes")
	p("status call, both sides             %6.0f bytes %8.1f us", r.status.bytes, micro(r.status.cpu))
	p("probe, both sides                   %6.0f bytes %8.1f us", r.probe.bytes, micro(r.probe.cpu))
	p("connection, both ends               %6.1f KB of memory", r.connection/1e3)
	p("edit of one organisation, update    %6.0f bytes (whole document with %d organisations: %.0f)", r.update, fullOrgs, r.whole)
	p("making an update, by organisations  %6.3f ms + %.3f us each", r.diffCPU.base/1e6, r.diffCPU.slope/1e3)
	p("taking an update, by organisations  %6.3f ms + %.3f us each", r.takeCPU.base/1e6, r.takeCPU.slope/1e3)
	p("document, by organisations          %6.1f KB + %.0f bytes each", r.holder.base/1e3, r.holder.slope)
	p("subset and trees of one entry       %6.1f ms for %d entries and %d agents", r.subsetCPU.Seconds()*1e3, fullNodes, fullWorkers)
	p("entry today, by agents              %6.3f%% + %.4f%% of a core, %.0f + %.0f B/s, %.1f MB + %.0f KB",
		100*r.entryCPU.base, 100*r.entryCPU.slope, r.entryBytes.base, r.entryBytes.slope, r.entryRSS.base/1e6, r.entryRSS.slope/1e3)
	p("agent today, by entries             %6.3f%% + %.4f%% of a core, %.0f + %.0f B/s, %.1f MB + %.0f KB",
		100*r.agentCPU.base, 100*r.agentCPU.slope, r.agentBytes.base, r.agentBytes.slope, r.agentRSS.base/1e6, r.agentRSS.slope/1e3)
	p("controller today                    %6.3f%% of a core, %.0f B/s, %.1f MB", 100*r.controller.cpu, r.controller.bytes, r.controller.resident/1e6)
	p("stream at an entry, by tokens       %6.0f us + %.1f us each", 1e6*r.entryStream.base, 1e6*r.entryStream.slope)
	p("stream at an agent, by tokens       %6.0f us + %.1f us each", 1e6*r.agentStream.base, 1e6*r.agentStream.slope)
	r.reportFull(p)
	r.reportPlatform(p)
}

func micro(d time.Duration) float64 { return float64(d) / 1e3 }

// reportFull prints the control costs of a node and an agent at the size aimed for.
func (r *rates) reportFull(p func(string, ...any)) {
	watched := watchers * fullWorkers / float64(fullNodes)
	edits := fullEdits / day
	changes := listChanges * fullReplaced / day
	// A node probes the agents that it watches and its four tree neighbours on average.
	probes := (watched + 4) / probeInterval
	take := r.takeCPU.at(fullOrgs) / 1e9
	// An edit is taken once and handed on as it came to two children on average and, at
	// worst, to each watched agent; a call with it costs as much as a probe.
	handed := watched + 2
	configuring := edits * (take + handed*r.probe.cpu.Seconds())
	p("")
	p("At %d nodes, %d agents, %d organisations, %d edits a day (a node, control only)", fullNodes, fullWorkers, fullOrgs, fullEdits)
	p("probes          %6.1f /s %8.0f B/s %8.4f%% of a core", probes, probes*r.probe.bytes, 100*probes*r.probe.cpu.Seconds())
	p("configuration   %6.3f /s %8.0f B/s %8.4f%% of a core", edits, edits*(1+handed)*r.update, 100*configuring)
	p("instance list   %6.3f /s %8.0f B/s %8.4f%% of a core", changes, changes*(1+handed)*instanceBytes, 100*changes*r.subsetCPU.Seconds())
	p("sum                       %8.0f B/s %8.4f%% of a core (limits 3000 B/s, 2.2%%)",
		probes*r.probe.bytes+edits*(1+handed)*r.update+changes*(1+handed)*instanceBytes,
		100*(probes*r.probe.cpu.Seconds()+configuring+changes*r.subsetCPU.Seconds()))
	p("memory          %6.1f MB document, %.1f MB instance list, %.1f MB connections (limit 128 MB)",
		r.holder.at(fullOrgs)/1e6, float64(fullNodes+fullWorkers)*instanceBytes*2/1e6, (watched+4+candidates)*r.connection/2/1e6)
	p("an agent        %6.1f probes/s %.0f B/s, %.4f%% of a core", watchers/probeInterval,
		watchers/probeInterval*r.probe.bytes+edits*r.update*watchers, 100*(watchers/probeInterval*r.probe.cpu.Seconds()/2+edits*take))
	load := fullRate / float64(fullNodes)
	p("load of agents on results  %.1f /s %8.0f B/s (a status of %.0f bytes with each result)", load, load*r.status.bytes/2, r.status.bytes/2)
	length := fullTokens / float64(fullRate)
	p("requests of %.0f tokens: %.2f cores at an entry with %.1f/s, %.3f cores at an agent with %.1f/s", length,
		load*r.entryStream.at(length), load, fullRate/float64(fullWorkers)*r.agentStream.at(length), fullRate/float64(fullWorkers))
	p("today's way at that size: an entry would poll %d processes every %.1f s: %.0f KB/s and %.0f%% of a core",
		fullNodes+fullWorkers, statusToday, r.status.bytes*(fullNodes+fullWorkers)/statusToday/1e3, 100*r.status.cpu.Seconds()/2*(fullNodes+fullWorkers)/statusToday)
}

// reportPlatform prints the calls a second to the platform.
func (r *rates) reportPlatform(p func(string, ...any)) {
	edits := fullEdits / day
	changes := listChanges * fullReplaced / day
	p("")
	p("Calls to the platform                          reads/s   writes/s")
	row := func(name string, reads, writes float64) [2]float64 {
		p("%-45s %8.2f   %8.2f", name, reads, writes)
		return [2]float64{reads, writes}
	}
	p("nine entries and controllers, 1000 edits a day")
	today := 1000 / day
	sum(row, [][2]float64{
		row("watches of two kinds, 9 entries", 9*2/watchInterval+9*today, 0),
		row("edits (7 reads, 2 writes)", 7*today, 2*today),
		row("two seats", 2*(candidates-1)/leaseInterval, 2/leaseInterval),
	})
	p("%d nodes, %d workers", fullNodes, fullWorkers)
	relays := float64(relaysPerZone * fullZones)
	seats := float64((fullGroups + shardsPerSeat - 1) / shardsPerSeat)
	sum(row, [][2]float64{
		row("watches of two kinds by the relays", relays*(2/watchInterval+edits+changes), 0),
		row("edits", 7*edits, 2*edits),
		row("seats of controllers", seats*(candidates-1)/leaseInterval, seats/leaseInterval),
		row("claims of shards after a takeover", 2*fullGroups/seats*fullReplaced/fullNodes*seats/day, fullGroups/seats*fullReplaced/fullNodes*seats/day),
	})
	p("a tenth of the platform: 200 reads/s and 30 writes/s (of two thousand and, taken low, three hundred)")
}

func sum(row func(string, float64, float64) [2]float64, rows [][2]float64) {
	var reads, writes float64
	for _, r := range rows {
		reads += r[0]
		writes += r[1]
	}
	row("sum", reads, writes)
}
