package expertmap

// StepID names one step of a group.
type StepID struct {
	// Term and Run are the ballot of the leader.
	Term int64 `json:"term"`
	Run  int64 `json:"run"`
	// Incarnation is that of the leader. It tells steps of leaders with equal ballots apart.
	Incarnation uint64 `json:"incarnation"`
	// Number counts the steps of one leader.
	Number int64 `json:"number"`
}

// hasLowerBallotThan reports whether the ballot of s is lower than that of t.
func (s StepID) hasLowerBallotThan(t StepID) bool {
	if s.Term != t.Term {
		return s.Term < t.Term
	}
	return s.Run < t.Run
}

// hasSameLeaderAs reports whether both steps were named by one leader.
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

// Retire orders a rank to drop maps with an epoch below Below.
type Retire struct {
	Fence int64 `json:"fence"`
	Below int64 `json:"below"`
}

// Report answers each order.
type Report struct {
	Rank int `json:"rank"`
	// Fence is the number known to the rank's guard; 0 when it knows none.
	Fence int64 `json:"fence"`
	// Held are the maps whose weights are loaded.
	Held []Ref `json:"held"`
	// Ran is the map of the newest step that the rank computed.
	Ran Ref `json:"ran"`
}

// Begin names a step and its map, and asks a rank to join.
type Begin struct {
	Step StepID `json:"step"`
	Ref  Ref    `json:"ref"`
}

// Go lets a rank compute a step that all ranks have joined.
type Go struct {
	Step StepID `json:"step"`
}

// Give hands a map that the group runs to a rank that lacks it.
type Give struct {
	Map *Map `json:"map"`
}

// AnswerKind tells the answers of a rank to its leader apart.
type AnswerKind int

// Answers of a rank.
const (
	// Join means that the rank holds the map and waits for Go.
	Join AnswerKind = iota + 1
	// Done means that the rank has computed the step.
	Done
	// Lack means that the rank cannot take part in the step and has not computed it.
	Lack
	// Stale means that the rank knows a leader with a higher ballot, given in Seen.
	Stale
)

// Answer is the answer of a rank to Begin or Go.
type Answer struct {
	Rank int        `json:"rank"`
	Kind AnswerKind `json:"kind"`
	Step StepID     `json:"step"`
	Held []Ref      `json:"held"`
	Seen StepID     `json:"seen"`
}

// Remind tells a rank that hears of no steps, or of none from its leader, what it led.
type Remind struct {
	Term int64 `json:"term"`
	Map  *Map  `json:"map"`
}

// Message is one of the message types of this package.
type Message any

// Envelope is a message to a rank.
type Envelope struct {
	To      int
	Message Message
}
