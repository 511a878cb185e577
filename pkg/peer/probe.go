package peer

// MethodProbe asks a process whether it lives. It is the smallest message of the protocol.
const MethodProbe = "p"

// ProbeRequest carries the news of the prober.
type ProbeRequest struct {
	// Config is the version of the configuration and List the revision of the instance list
	// that the prober knows.
	Config int64 `json:"c"`
	List   int64 `json:"l"`
}

// ProbeResult carries the news of the probed process.
type ProbeResult struct {
	Config int64 `json:"c"`
	List   int64 `json:"l"`
	// Cut is set while the process cannot reach the platform.
	Cut bool `json:"x,omitempty"`
	// Incarnation tells whether the process was restarted.
	Incarnation string `json:"i"`
}
