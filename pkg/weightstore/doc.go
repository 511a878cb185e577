// Package weightstore shares the rate of the weight store among rank groups.
//
// The rate is divided into windows of fixed length. A budget object at the platform
// holds what was granted in the newest window; a group that wants to load weights adds
// its grant by conditional update. No owner of the budget is needed, and a grant whose
// answer was lost is wasted, never doubled.
//
// Windows are numbered by the clocks of the writers and only rise. With clocks that
// differ by at most e, the grants of any time T stay below rate * (T + 2*window + 2*e).
//
// Groups are spread over a fixed number of budget objects by hash, each with an equal
// part of the rate, so that conflicts stay few at any number of groups.
package weightstore
