package expertmap

// Platform is what the node of a rank asks of the platform.
type Platform interface {
	// ReadFence reads the record of the group; Node.Fenced takes in the answer. A
	// read that fails is asked for again at a later tick.
	ReadFence()
}

// Node joins the state machines of one rank: the guard, the rank's part in the steps,
// and the leader of the steps. It is not safe for concurrent use.
type Node struct {
	Guard  Guard
	Rank   *Rank
	Leader *Leader

	rankIndex    int
	recordReader Platform
	// Refused counts orders that the guard refused.
	Refused int64
}

// NewNode returns the node of a rank that has just started.
func NewNode(index int, incarnation uint64, e Engine, p Platform) *Node {
	return &Node{rankIndex: index, recordReader: p, Rank: NewRank(index, e), Leader: NewLeader(index, incarnation)}
}

// Fenced takes in the record, read from the platform after the start.
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

// Order carries out an order of an owner. The report is the answer to it.
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

// Report returns the state of the rank as owners see it.
func (n *Node) Report() Report {
	fence, _ := n.Guard.Known()
	r := Report{Rank: n.rankIndex, Fence: fence, Held: n.Rank.Held(), Ran: n.Rank.Ran()}
	if n.Leader.target != nil {
		// The leader tells what the whole group computed.
		r.Ran = n.Leader.Running()
	}
	return r
}

// Step takes in a message of another rank. The answer, when there is one, goes back
// to its sender.
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

// Tick repeats what may have been lost.
func (n *Node) Tick() []Envelope {
	if _, known := n.Guard.Known(); !known {
		n.recordReader.ReadFence()
	}
	return append(n.Leader.Tick(), n.Rank.Tick()...)
}

func (n *Node) acceptToken(fence int64) bool {
	ok := n.Guard.Accept(fence)
	if !ok {
		n.Refused++
	}
	return ok
}
