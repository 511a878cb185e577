// Package ranks is a small stand-in for one rank of a rank group and its engine.
//
// It keeps the maps that it has loaded, and a record of the map of each step that it
// computed, which GET /steps returns. Loads drift: every few seconds the popularity of the
// experts moves on.
package ranks
