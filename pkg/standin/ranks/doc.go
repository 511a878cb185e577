// Package ranks is a small stand-in for one rank of a rank group and its engine.
//
// It records which expert maps are loaded and which map each computed step used; GET /steps
// returns the steps. The loads of the experts drift: the popularity shifts by one expert each
// Options.DriftInterval.
package ranks
