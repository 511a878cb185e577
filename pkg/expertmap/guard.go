package expertmap

// Guard checks the fencing numbers of orders before an engine that may ignore them.
// The zero value knows no number and refuses every order. It is not safe for
// concurrent use.
type Guard struct {
	initialized bool
	token int64
}

// Know takes in the number in force, read from the platform after the start.
func (g *Guard) Know(fence int64) {
	g.initialized = true
	g.token = max(g.token, fence)
}

// Known reports whether a number is known, and which.
func (g *Guard) Known() (int64, bool) { return g.token, g.initialized }

// Accept reports whether an order with the number may be carried out. A higher
// number than the known one is taken as the number in force.
func (g *Guard) Accept(fence int64) bool {
	if !g.initialized || fence < g.token {
		return false
	}
	g.token = fence
	return true
}
