package peer

// MethodProbe checks whether a process is alive. It is the smallest message of the protocol,
// hence the one-letter names.
const MethodProbe = "p"

// ProbeRequest carries the versions known to the probing process.
type ProbeRequest struct {
	// Config is the version of the configuration and List the revision of the instance list
	// at the probing process.
	Config int64 `json:"c"`
	List   int64 `json:"l"`
}

// ProbeResult carries the versions known to the probed process.
type ProbeResult struct {
	// Config is the version of the configuration and List the revision of the instance list
	// at the probed process.
	Config int64 `json:"c"`
	List   int64 `json:"l"`
	// Cut is set while the process cannot reach the platform.
	Cut bool `json:"x,omitempty"`
	// Incarnation is the incarnation of the probed process. It changes with each restart.
	Incarnation string `json:"i"`
}
