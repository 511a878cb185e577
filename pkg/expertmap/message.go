package expertmap

// StepID identifies one step of a group.
type StepID struct {
	// Term and Run are the ballot of the leader, Term being the more significant part.
	Term int64 `json:"term"`
	Run  int64 `json:"run"`
	// Incarnation is that of the leader's process. It distinguishes steps of leaders with
	// equal ballots.
	Incarnation uint64 `json:"incarnation"`
	// Number counts the steps of one leader and ballot.
	Number int64 `json:"number"`
}

// hasLowerBallotThan reports whether the ballot of s is lower than that of t.
func (s StepID) hasLowerBallotThan(t StepID) bool {
	if s.Term != t.Term {
		return s.Term < t.Term
	}
	return s.Run < t.Run
}

// hasSameLeaderAs reports whether one leader began both steps under one ballot.
func (s StepID) hasSameLeaderAs(t StepID) bool {
	return s.Term == t.Term && s.Run == t.Run && s.Incarnation == t.Incarnation
}

// Stage orders a rank to load the weights of a map.
type Stage struct {
	Fence int64 `json:"fence"`
	Map   *Map  `json:"map"`
}

// Switch orders the leading rank of a decided map to run it.
type Switch struct {
	Fence int64 `json:"fence"`
	Term  int64 `json:"term"`
	Map   *Map  `json:"map"`
}

// Retire orders a rank to free the weights of maps with an epoch lower than Below.
type Retire struct {
	Fence int64 `json:"fence"`
	Below int64 `json:"below"`
}

// Report is the response of a rank to an order.
type Report struct {
	Rank int `json:"rank"`
	// Fence is the current fencing token of the rank's guard; 0 when it has none.
	Fence int64 `json:"fence"`
	// Held are the maps whose weights are loaded on the rank.
	Held []Ref `json:"held"`
	// Ran is the map of the newest computed step: on a leader the newest one that all
	// ranks computed, else the newest one that this rank computed.
	Ran Ref `json:"ran"`
}

// Begin requests a rank to join a step on a map.
type Begin struct {
	Step StepID `json:"step"`
	Ref  Ref    `json:"ref"`
}

// Go requests a rank to compute a step that all ranks have joined.
type Go struct {
	Step StepID `json:"step"`
}

// Give sends the decided map to a rank that has not loaded it.
type Give struct {
	Map *Map `json:"map"`
}

// AnswerKind is the kind of a rank's response to its leader. The numbers are sent to other
// processes.
type AnswerKind int

// The kinds of responses of a rank.
const (
	// Join means that the rank has loaded the map and waits for Go.
	Join AnswerKind = iota + 1
	// Done means that the rank has computed the step.
	Done
	// Lack means that the rank cannot take part in the step and has not computed it.
	Lack
	// Stale means that the rank has seen a newer step, which Seen names: one with a ballot
	// that is not lower, or a later step of the same leader.
	Stale
)

// Answer is the response of a rank to Begin or Go.
type Answer struct {
	Rank int        `json:"rank"`
	Kind AnswerKind `json:"kind"`
	// Step is the step of the request.
	Step StepID `json:"step"`
	// Held are the maps whose weights are loaded on the rank.
	Held []Ref `json:"held"`
	// Seen is the newest step that the rank was requested to join.
	Seen StepID `json:"seen"`
}

// Remind informs a restarted leader of the term and the map that it led. Ranks send it when
// they have received no step for a while.
type Remind struct {
	Term int64 `json:"term"`
	Map  *Map  `json:"map"`
}

// Message is one of the message types of this package.
type Message any

// Envelope is a message with the index of the rank that it is addressed to.
type Envelope struct {
	To      int
	Message Message
}
