package peer

// Listed tells a process what the instance list says of its instance. Of two
// messages the one with the higher revision counts.
type Listed struct {
	// Leaving is set when the instance is listed as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Revision is the revision of the list entry, 0 when unknown.
	Revision int64 `json:"revision,omitempty"`
}
