package expertmap

// RecordReader is the access of a node to the platform.
type RecordReader interface {
	// RequestRecord starts to read the record of the group and does not block. The result is
	// passed to Node.HandleRecord. While there is none, each tick requests the read again.
	RequestRecord()
}

// Node combines the state machines of one rank: the guard, the rank's part in the steps,
// and the leader of the steps. It is not safe for concurrent use.
type Node struct {
	Guard  FencingGuard
	Rank   *Rank
	Leader *Leader

	rankIndex    int
	recordReader RecordReader
	// RejectedOrders counts the orders that the guard rejected.
	RejectedOrders int64
}

// NewNode returns the node of a rank whose process has just started with a new incarnation.
func NewNode(index int, incarnation uint64, e Engine, p RecordReader) *Node {
	return &Node{rankIndex: index, recordReader: p, Rank: NewRank(index, e), Leader: NewLeader(index, incarnation)}
}

// HandleRecord handles the record of the group, as read from the platform after the start.
func (n *Node) HandleRecord(r Record) []Envelope {
	n.Guard.SetFencingToken(r.FencingToken)
	if r.Decided == nil {
		return nil
	}
	n.Rank.EnsureLoaded(r.Decided)
	if r.Decided.Leader() != n.rankIndex {
		return nil
	}
	return n.Leader.SetTarget(r.Term, r.Decided)
}

// HandleOrder carries out an order of an owner unless the guard rejects it. The report is the
// response to the order in both cases.
func (n *Node) HandleOrder(m Message) (RankReport, []Envelope) {
	var out []Envelope
	switch o := m.(type) {
	case StageOrder:
		if n.acceptFencingToken(o.FencingToken) {
			n.Rank.EnsureLoaded(o.Map)
		}
	case SwitchOrder:
		if n.acceptFencingToken(o.FencingToken) {
			out = n.Leader.SetTarget(o.Term, o.Map)
		}
	case RetireOrder:
		if n.acceptFencingToken(o.FencingToken) {
			n.Rank.Retire(o.BelowEpoch)
		}
	}
	return n.Report(), out
}

// Report returns the state of the rank for owners.
func (n *Node) Report() RankReport {
	fencingToken, _ := n.Guard.FencingToken()
	r := RankReport{Rank: n.rankIndex, FencingToken: fencingToken, Loaded: n.Rank.LoadedMaps(), LastComputed: n.Rank.LastComputed()}
	if n.Leader.target != nil {
		// For a leader, the report covers the steps that all ranks computed.
		r.LastComputed = n.Leader.LastComputed()
	}
	return r
}

// HandleMessage handles a message of another rank. A response that is not nil must be sent back
// to the sender.
func (n *Node) HandleMessage(m Message) (*StepResponse, []Envelope) {
	switch s := m.(type) {
	case JoinRequest:
		a := n.Rank.HandleJoin(s)
		return &a, nil
	case ComputeRequest:
		a := n.Rank.HandleCompute(s)
		return &a, nil
	case StepResponse:
		return nil, n.Leader.HandleResponse(s)
	case MapTransfer:
		n.Rank.EnsureLoaded(s.Map)
	case LeaderReminder:
		return nil, n.Leader.HandleReminder(s)
	}
	return nil, nil
}

// Tick requests the record until it has been read, and repeats messages that may be lost.
func (n *Node) Tick() []Envelope {
	if _, known := n.Guard.FencingToken(); !known {
		n.recordReader.RequestRecord()
	}
	return append(n.Leader.Tick(), n.Rank.Tick()...)
}

// acceptFencingToken reports whether an order with the fencing token may be carried out, and
// counts the order as rejected otherwise.
func (n *Node) acceptFencingToken(fencingToken int64) bool {
	ok := n.Guard.Accept(fencingToken)
	if !ok {
		n.RejectedOrders++
	}
	return ok
}
