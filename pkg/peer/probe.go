package peer

// MethodProbe checks whether a process is alive. It is the smallest message of the protocol,
// hence the one-letter names.
const MethodProbe = "p"

// ProbeRequest carries the versions known to the probing process.
type ProbeRequest struct {
	// ConfigVersion is the version of the configuration and ListRevision that of the instance list
	// at the probing process.
	ConfigVersion int64 `json:"c"`
	ListRevision  int64 `json:"l"`
}

// ProbeResult carries the versions known to the probed process.
type ProbeResult struct {
	// ConfigVersion is the version of the configuration and ListRevision that of the instance list
	// at the probed process.
	ConfigVersion int64 `json:"c"`
	ListRevision  int64 `json:"l"`
	// PlatformUnreachable is set while the process cannot reach the platform.
	PlatformUnreachable bool `json:"x,omitempty"`
	// Incarnation is the incarnation of the probed process. It changes with each restart.
	Incarnation string `json:"i"`
}
