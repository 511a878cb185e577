package expertmap

// FencingGuard checks the fencing tokens of orders, because an engine may not check them itself.
// The zero value has no fencing token and rejects every order. It is not safe for concurrent use.
type FencingGuard struct {
	initialized  bool
	fencingToken int64
}

// SetFencingToken sets the current fencing token, as read from the platform after the start. A token
// lower than the one already set is ignored.
func (g *FencingGuard) SetFencingToken(fencingToken int64) {
	g.initialized = true
	g.fencingToken = max(g.fencingToken, fencingToken)
}

// FencingToken returns the current fencing token, and whether one is set.
func (g *FencingGuard) FencingToken() (int64, bool) { return g.fencingToken, g.initialized }

// Accept reports whether an order with the fencing token may be carried out. A token higher
// than the current one replaces it.
func (g *FencingGuard) Accept(fencingToken int64) bool {
	if !g.initialized || fencingToken < g.fencingToken {
		return false
	}
	g.fencingToken = fencingToken
	return true
}
