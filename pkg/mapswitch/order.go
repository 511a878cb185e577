package mapswitch

// Map lists the experts by layer and rank.
type Map [][][]int

// None stands for no version or no pass.
const None = int64(-1)

// RankState is the reported state of a rank.
type RankState struct {
	// Known is set when the report is up to date.
	Known bool `json:"Known"`
	// GroupFormed is set while the group is formed and runs passes.
	GroupFormed bool `json:"Open"`
	// Epoch counts how often the group has formed.
	Epoch int64 `json:"Epoch"`
	// Pass is the last pass that has begun.
	Pass int64 `json:"Pass"`
	// RunningVersion is the version of the map in use.
	RunningVersion int64 `json:"Running"`
	// PreparedVersion is the version that is loaded beside the one in use, or None.
	PreparedVersion int64 `json:"Prepared"`
	// LoadingVersion is the version that the rank has accepted and may still be loading, or
	// None. It only avoids repeated orders.
	LoadingVersion int64 `json:"Loading"`
	// ArmedVersion is the version that the rank will switch to, and ArmedPass the pass with
	// which it will. ArmedVersion is None if there is no such version.
	ArmedVersion int64 `json:"Armed"`
	ArmedPass    int64 `json:"ArmedFor"`
	// HeldPass is the pass that the rank keeps the group from beginning, or None.
	HeldPass int64 `json:"Held"`
}

// holdsUnarmed reports whether the rank holds a pass and is not armed.
func (r RankState) holdsUnarmed() bool {
	return r.Known && r.GroupFormed && r.HeldPass != None && r.ArmedVersion == None
}

// Op is the operation that an order requests.
type Op int

// Operations.
const (
	Prepare Op = iota + 1
	Hold
	Arm
	Release
)

// String returns the name of the operation.
func (o Op) String() string {
	switch o {
	case Prepare:
		return "prepare"
	case Hold:
		return "hold"
	case Arm:
		return "arm"
	case Release:
		return "release"
	}
	return "unknown"
}

// Order is one operation for one rank.
type Order struct {
	Rank  int   `json:"rank"`
	Op    Op    `json:"op"`
	Epoch int64 `json:"epoch"`
	// Version identifies the map of Prepare and Arm.
	Version int64 `json:"version,omitempty"`
	// Pass is the pass of Hold, Arm and Release.
	Pass int64 `json:"pass,omitempty"`
	// Map is the new expert map for Prepare.
	Map Map `json:"map,omitempty"`
}
