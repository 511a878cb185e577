package expertmap

// Platform is the access of a node to the platform.
type Platform interface {
	// ReadFence starts to read the record of the group and does not block. The result is
	// passed to Node.Fenced. While there is none, each tick requests the read again.
	ReadFence()
}

// Node combines the state machines of one rank: the guard, the rank's part in the steps,
// and the leader of the steps. It is not safe for concurrent use.
type Node struct {
	Guard  Guard
	Rank   *Rank
	Leader *Leader

	rankIndex    int
	recordReader Platform
	// Refused counts the orders that the guard rejected.
	Refused int64
}

// NewNode returns the node of a rank whose process has just started with a new incarnation.
func NewNode(index int, incarnation uint64, e Engine, p Platform) *Node {
	return &Node{rankIndex: index, recordReader: p, Rank: NewRank(index, e), Leader: NewLeader(index, incarnation)}
}

// Fenced handles the record of the group, as read from the platform after the start.
func (n *Node) Fenced(r Record) []Envelope {
	n.Guard.Know(r.Fence)
	if r.Decided == nil {
		return nil
	}
	n.Rank.Want(r.Decided)
	if r.Decided.Leader() != n.rankIndex {
		return nil
	}
	return n.Leader.Lead(r.Term, r.Decided)
}

// Order carries out an order of an owner unless the guard rejects it. The report is the
// response to the order in both cases.
func (n *Node) Order(m Message) (Report, []Envelope) {
	var out []Envelope
	switch o := m.(type) {
	case Stage:
		if n.acceptToken(o.Fence) {
			n.Rank.Want(o.Map)
		}
	case Switch:
		if n.acceptToken(o.Fence) {
			out = n.Leader.Lead(o.Term, o.Map)
		}
	case Retire:
		if n.acceptToken(o.Fence) {
			n.Rank.Retire(o.Below)
		}
	}
	return n.Report(), out
}

// Report returns the state of the rank for owners.
func (n *Node) Report() Report {
	token, _ := n.Guard.Known()
	r := Report{Rank: n.rankIndex, Fence: token, Held: n.Rank.Held(), Ran: n.Rank.Ran()}
	if n.Leader.target != nil {
		// For a leader, the report covers the steps that all ranks computed.
		r.Ran = n.Leader.Running()
	}
	return r
}

// Step handles a message of another rank. A response that is not nil must be sent back to
// the sender.
func (n *Node) Step(m Message) (*Answer, []Envelope) {
	switch s := m.(type) {
	case Begin:
		a := n.Rank.Begin(s)
		return &a, nil
	case Go:
		a := n.Rank.Go(s)
		return &a, nil
	case Answer:
		return nil, n.Leader.Answer(s)
	case Give:
		n.Rank.Want(s.Map)
	case Remind:
		return nil, n.Leader.Remind(s)
	}
	return nil, nil
}

// Tick requests the record until it has been read, and repeats messages that may be lost.
func (n *Node) Tick() []Envelope {
	if _, known := n.Guard.Known(); !known {
		n.recordReader.ReadFence()
	}
	return append(n.Leader.Tick(), n.Rank.Tick()...)
}

// acceptToken reports whether an order with the token may be carried out, and counts it
// otherwise.
func (n *Node) acceptToken(token int64) bool {
	ok := n.Guard.Accept(token)
	if !ok {
		n.Refused++
	}
	return ok
}
