package expertmap

// StepID identifies one step of a group.
type StepID struct {
	// Term and Round are the ballot of the leader, Term being the more significant part.
	Term  int64 `json:"term"`
	Round int64 `json:"run"`
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
	return s.Round < t.Round
}

// hasSameLeaderAs reports whether one leader began both steps under one ballot.
func (s StepID) hasSameLeaderAs(t StepID) bool {
	return s.Term == t.Term && s.Round == t.Round && s.Incarnation == t.Incarnation
}

// StageOrder orders a rank to load the weights of a map.
type StageOrder struct {
	FencingToken int64 `json:"fence"`
	Map          *Map  `json:"map"`
}

// SwitchOrder orders the leading rank of a decided map to run it.
type SwitchOrder struct {
	FencingToken int64 `json:"fence"`
	Term         int64 `json:"term"`
	Map          *Map  `json:"map"`
}

// RetireOrder orders a rank to free the weights of maps with an epoch lower than
// BelowEpoch.
type RetireOrder struct {
	FencingToken int64 `json:"fence"`
	BelowEpoch   int64 `json:"below"`
}

// RankReport is the response of a rank to an order.
type RankReport struct {
	Rank int `json:"rank"`
	// FencingToken is the current fencing token of the rank's guard; 0 when it has none.
	FencingToken int64 `json:"fence"`
	// Loaded are the maps whose weights are loaded on the rank.
	Loaded []Ref `json:"held"`
	// LastComputed is the map of the newest computed step: on a leader the newest one that all
	// ranks computed, else the newest one that this rank computed.
	LastComputed Ref `json:"ran"`
}

// JoinRequest requests a rank to join a step on a map.
type JoinRequest struct {
	Step StepID `json:"step"`
	Ref  Ref    `json:"ref"`
}

// ComputeRequest requests a rank to compute a step that all ranks have joined.
type ComputeRequest struct {
	Step StepID `json:"step"`
}

// MapTransfer sends the decided map to a rank that has not loaded it.
type MapTransfer struct {
	Map *Map `json:"map"`
}

// ResponseKind is the kind of a rank's response to its leader. The numbers are sent to other
// processes.
type ResponseKind int

// The kinds of responses of a rank.
const (
	// ResponseJoined means that the rank has loaded the map and waits for a
	// ComputeRequest.
	ResponseJoined ResponseKind = iota + 1
	// ResponseComputed means that the rank has computed the step.
	ResponseComputed
	// ResponseNotReady means that the rank cannot take part in the step and has not
	// computed it.
	ResponseNotReady
	// ResponseStale means that the rank has seen a newer step, which LatestStep
	// names: one with a ballot that is not lower, or a later step of the same leader.
	ResponseStale
)

// StepResponse is the response of a rank to a JoinRequest or ComputeRequest.
type StepResponse struct {
	Rank int          `json:"rank"`
	Kind ResponseKind `json:"kind"`
	// Step is the step of the request.
	Step StepID `json:"step"`
	// Loaded are the maps whose weights are loaded on the rank.
	Loaded []Ref `json:"held"`
	// LatestStep is the newest step that the rank was requested to join.
	LatestStep StepID `json:"seen"`
}

// LeaderReminder informs a restarted leader of the term and the map that it led. Ranks send it
// when they have received no step for a while.
type LeaderReminder struct {
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
