// Package placement plans which ranks load which experts, and how the load of an expert is
// shared among its replicas.
//
// All ranks of a group run a pass layer by layer in lock-step, so a layer takes as long as its
// most loaded rank. The skew of a layer is the load of that rank over the mean load of the ranks.
//
// Three means reduce the skew, the cheapest first:
//
//   - Shares. A replica may take any part of its expert's load. Balance finds the shares by
//     water filling and by moving load along paths of experts with replicas on several ranks (a
//     maximum flow). New shares load no weights and need only a new map.
//   - Moves. Where no path is left, Improve evaluates single moves: it loads a further replica of
//     an expert that is on the overloaded ranks, on a rank with room, in the slot of the replica
//     with the least load there. Where such a rank has only replicas that are the only ones of
//     their experts, the lightest of them is moved elsewhere first.
//   - A placement from the loads alone, by WrapAround, which needs E+R-1 slots for E experts on R
//     ranks. It is the initial placement.
//
// Planner applies them to all layers of a group. It moves replicas only where the time saved
// over a horizon exceeds the cost of the moves, and a plan loads no more replicas than the
// ranks have room for beside those of the map in force.
//
// EvenPlanner plans for groups whose ranks share the load of an expert evenly among its replicas.
//
// The package has no I/O, no clock and no goroutines.
package placement
