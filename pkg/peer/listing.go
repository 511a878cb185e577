package peer

// Listing is the entry of a process in the instance list, sent to that process. Of two
// messages the one with the higher revision is current.
type Listing struct {
	// Leaving is set when the instance is listed as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Revision is the store revision of the list entry, 0 when unknown.
	Revision int64 `json:"revision,omitempty"`
}
