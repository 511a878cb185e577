package expertmap

// Guard checks the fencing tokens of orders, because an engine may not check them itself.
// The zero value has no token and rejects every order. It is not safe for concurrent use.
type Guard struct {
	initialized bool
	token       int64
}

// Know sets the current token, as read from the platform after the start. A token lower
// than the one already set is ignored.
func (g *Guard) Know(token int64) {
	g.initialized = true
	g.token = max(g.token, token)
}

// Known returns the current token, and whether one is set.
func (g *Guard) Known() (int64, bool) { return g.token, g.initialized }

// Accept reports whether an order with the token may be carried out. A token higher than
// the current one replaces it.
func (g *Guard) Accept(token int64) bool {
	if !g.initialized || token < g.token {
		return false
	}
	g.token = token
	return true
}
