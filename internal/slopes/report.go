package main

import (
	"fmt"
	"io"
	"time"
)

// The target size of the system.
const (
	targetNodes              = 1600
	targetWorkers            = 12_000
	targetZones              = 9
	targetOrganisations      = 3600
	targetEditsPerDay        = 10_000
	targetRankGroups         = 750
	targetReplacementsPerDay = 1300 + 150
	secondsPerDay            = 86_400.0
	// Requests and tokens per second are sums over all entries.
	targetRequestsPerSecond = 74_000
	targetTokensPerSecond   = 27_000_000
)

// Assumed settings of the mechanisms; intervals are those of the periodic calls.
const (
	probeIntervalSeconds   = 3.0
	watchIntervalSeconds   = 10.0
	leaseIntervalSeconds   = 5.0
	watchersPerAgent       = 3
	candidatesPerLeaseSlot = 3
	relaysPerZone          = 2
	shardsPerLeaseSlot     = 64
	statusIntervalSeconds  = 0.5 // default interval between two status calls to a process
	// listChangesPerReplacement counts the changes of the instance list when an instance is
	// replaced: the old one is leaving, then gone, and the new one is added.
	listChangesPerReplacement = 3
	// instanceBytes is the encoded size of one instance in the list.
	instanceBytes = 250
)

// measurements holds the results of a run. Durations are processor time.
type measurements struct {
	statusCall, probeCall callCost
	// connectionMemory is the memory of a connection in bytes, both ends together.
	connectionMemory float64
	// updateBytes and documentBytes are the encoded sizes of an update and of a full document.
	updateBytes, documentBytes float64
	// makeUpdateCPU and applyUpdateCPU are the processor time in nanoseconds to make and to
	// apply an update, and documentMemory is the memory of a document in bytes, all as
	// functions of the number of organisations.
	makeUpdateCPU, applyUpdateCPU, documentMemory line
	watchedAgents                                 float64
	subsetCPU                                     time.Duration
	// Cost of an entry as a function of the number of agents, and of an agent as a function of
	// the number of entries: CPU in cores, traffic in bytes per second, resident bytes.
	entryCPU, entryBytes, entryRSS line
	agentCPU, agentBytes, agentRSS line
	controllerCost                 processCost
	// Processor time in seconds of one stream as a function of its number of tokens.
	entryStream, agentStream line
}

// report prints the fitted lines and the costs that follow from them at the target size.
func (r *measurements) report(w io.Writer) {
	p := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	p("")
	p("Slopes")
	p("status call, both sides             %6.0f bytes %8.1f us", r.statusCall.bytes, microseconds(r.statusCall.cpu))
	p("probe, both sides                   %6.0f bytes %8.1f us", r.probeCall.bytes, microseconds(r.probeCall.cpu))
	p("connection, both ends               %6.1f KB of memory", r.connectionMemory/1e3)
	p("edit of one organisation, update    %6.0f bytes (full document with %d organisations: %.0f)", r.updateBytes, targetOrganisations, r.documentBytes)
	p("making an update, by organisations  %6.3f ms + %.3f us each", r.makeUpdateCPU.intercept/1e6, r.makeUpdateCPU.slope/1e3)
	p("applying an update, by organisations %6.3f ms + %.3f us each", r.applyUpdateCPU.intercept/1e6, r.applyUpdateCPU.slope/1e3)
	p("document, by organisations          %6.1f KB + %.0f bytes each", r.documentMemory.intercept/1e3, r.documentMemory.slope)
	p("subset and trees of one entry       %6.1f ms for %d entries and %d agents", r.subsetCPU.Seconds()*1e3, targetNodes, targetWorkers)
	p("entry today, by agents              %6.3f%% + %.4f%% of a core, %.0f + %.0f B/s, %.1f MB + %.0f KB",
		100*r.entryCPU.intercept, 100*r.entryCPU.slope, r.entryBytes.intercept, r.entryBytes.slope, r.entryRSS.intercept/1e6, r.entryRSS.slope/1e3)
	p("agent today, by entries             %6.3f%% + %.4f%% of a core, %.0f + %.0f B/s, %.1f MB + %.0f KB",
		100*r.agentCPU.intercept, 100*r.agentCPU.slope, r.agentBytes.intercept, r.agentBytes.slope, r.agentRSS.intercept/1e6, r.agentRSS.slope/1e3)
	p("controller today                    %6.3f%% of a core, %.0f B/s, %.1f MB", 100*r.controllerCost.cpu, r.controllerCost.bytes, r.controllerCost.resident/1e6)
	p("stream at an entry, by tokens       %6.0f us + %.1f us each", 1e6*r.entryStream.intercept, 1e6*r.entryStream.slope)
	p("stream at an agent, by tokens       %6.0f us + %.1f us each", 1e6*r.agentStream.intercept, 1e6*r.agentStream.slope)
	r.reportTargetSize(p)
	r.reportPlatform(p)
}

func microseconds(d time.Duration) float64 { return float64(d) / 1e3 }

// reportTargetSize prints the control costs of a node and of an agent at the target size.
func (r *measurements) reportTargetSize(p func(string, ...any)) {
	watched := watchersPerAgent * targetWorkers / float64(targetNodes)
	edits := targetEditsPerDay / secondsPerDay
	changes := listChangesPerReplacement * targetReplacementsPerDay / secondsPerDay
	// A node probes the agents that it watches and, on average, four tree neighbours.
	probes := (watched + 4) / probeIntervalSeconds
	applySeconds := r.applyUpdateCPU.at(targetOrganisations) / 1e9
	// A node applies each edit once and forwards it unchanged to two children on average and,
	// in the worst case, to each watched agent; such a call costs as much as a probe.
	forwards := watched + 2
	configurationCPU := edits * (applySeconds + forwards*r.probeCall.cpu.Seconds())
	p("")
	p("At %d nodes, %d agents, %d organisations, %d edits a day (a node, control only)", targetNodes, targetWorkers, targetOrganisations, targetEditsPerDay)
	p("probes          %6.1f /s %8.0f B/s %8.4f%% of a core", probes, probes*r.probeCall.bytes, 100*probes*r.probeCall.cpu.Seconds())
	p("configuration   %6.3f /s %8.0f B/s %8.4f%% of a core", edits, edits*(1+forwards)*r.updateBytes, 100*configurationCPU)
	p("instance list   %6.3f /s %8.0f B/s %8.4f%% of a core", changes, changes*(1+forwards)*instanceBytes, 100*changes*r.subsetCPU.Seconds())
	p("sum                       %8.0f B/s %8.4f%% of a core (limits 3000 B/s, 2.2%%)",
		probes*r.probeCall.bytes+edits*(1+forwards)*r.updateBytes+changes*(1+forwards)*instanceBytes,
		100*(probes*r.probeCall.cpu.Seconds()+configurationCPU+changes*r.subsetCPU.Seconds()))
	p("memory          %6.1f MB document, %.1f MB instance list, %.1f MB connections (limit 128 MB)",
		r.documentMemory.at(targetOrganisations)/1e6, float64(targetNodes+targetWorkers)*instanceBytes*2/1e6, (watched+4+candidatesPerLeaseSlot)*r.connectionMemory/2/1e6)
	p("an agent        %6.1f probes/s %.0f B/s, %.4f%% of a core", watchersPerAgent/probeIntervalSeconds,
		watchersPerAgent/probeIntervalSeconds*r.probeCall.bytes+edits*r.updateBytes*watchersPerAgent, 100*(watchersPerAgent/probeIntervalSeconds*r.probeCall.cpu.Seconds()/2+edits*applySeconds))
	requestsPerNode := targetRequestsPerSecond / float64(targetNodes)
	p("load of agents on results  %.1f /s %8.0f B/s (a status of %.0f bytes with each result)", requestsPerNode, requestsPerNode*r.statusCall.bytes/2, r.statusCall.bytes/2)
	tokensPerRequest := targetTokensPerSecond / float64(targetRequestsPerSecond)
	p("requests of %.0f tokens: %.2f cores at an entry with %.1f/s, %.3f cores at an agent with %.1f/s", tokensPerRequest,
		requestsPerNode*r.entryStream.at(tokensPerRequest), requestsPerNode, targetRequestsPerSecond/float64(targetWorkers)*r.agentStream.at(tokensPerRequest), targetRequestsPerSecond/float64(targetWorkers))
	p("polling at that size: an entry would poll %d processes every %.1f s: %.0f KB/s and %.0f%% of a core",
		targetNodes+targetWorkers, statusIntervalSeconds, r.statusCall.bytes*(targetNodes+targetWorkers)/statusIntervalSeconds/1e3, 100*r.statusCall.cpu.Seconds()/2*(targetNodes+targetWorkers)/statusIntervalSeconds)
}

// reportPlatform prints the calls per second to the platform, for a fleet of nine entries and
// for the target size.
func (r *measurements) reportPlatform(p func(string, ...any)) {
	edits := targetEditsPerDay / secondsPerDay
	changes := listChangesPerReplacement * targetReplacementsPerDay / secondsPerDay
	p("")
	p("Calls to the platform                          reads/s   writes/s")
	row := func(name string, reads, writes float64) [2]float64 {
		p("%-45s %8.2f   %8.2f", name, reads, writes)
		return [2]float64{reads, writes}
	}
	p("nine entries and controllers, 1000 edits a day")
	editsPerSecond := 1000 / secondsPerDay
	reportSum(row, [][2]float64{
		row("watches of two kinds, 9 entries", 9*2/watchIntervalSeconds+9*editsPerSecond, 0),
		row("edits (7 reads, 2 writes)", 7*editsPerSecond, 2*editsPerSecond),
		row("two lease slots", 2*(candidatesPerLeaseSlot-1)/leaseIntervalSeconds, 2/leaseIntervalSeconds),
	})
	p("%d nodes, %d workers", targetNodes, targetWorkers)
	relays := float64(relaysPerZone * targetZones)
	leaseSlots := float64((targetRankGroups + shardsPerLeaseSlot - 1) / shardsPerLeaseSlot)
	reportSum(row, [][2]float64{
		row("watches of two kinds by the relays", relays*(2/watchIntervalSeconds+edits+changes), 0),
		row("edits", 7*edits, 2*edits),
		row("lease slots of controllers", leaseSlots*(candidatesPerLeaseSlot-1)/leaseIntervalSeconds, leaseSlots/leaseIntervalSeconds),
		row("claims of shards after a takeover", 2*targetRankGroups/leaseSlots*targetReplacementsPerDay/targetNodes*leaseSlots/secondsPerDay, targetRankGroups/leaseSlots*targetReplacementsPerDay/targetNodes*leaseSlots/secondsPerDay),
	})
	p("a tenth of the platform: 200 reads/s and 30 writes/s (of 2000 and a conservative 300)")
}

// reportSum prints the sums of the columns of rows.
func reportSum(row func(string, float64, float64) [2]float64, rows [][2]float64) {
	var reads, writes float64
	for _, r := range rows {
		reads += r[0]
		writes += r[1]
	}
	row("sum", reads, writes)
}
