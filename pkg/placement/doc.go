// Package placement plans which rank holds which experts, and how the load of an
// expert is shared among its replicas.
//
// All ranks of a group advance in lock-step, layer by layer, so a layer takes as long
// as its fullest rank. The skew of a layer is the load of the fullest rank over the mean.
//
// Three means serve against skew, the cheapest first:
//
//   - Shares. A replica may take any part of its expert's load. Balance finds shares by
//     water filling and by moving load along chains of experts with replicas on several
//     ranks (a maximum flow). New shares cost no weights, only a new map.
//   - Moves. Where chains end, Improve weighs single moves: a replica of an expert that
//     loads the ranks which cannot be relieved, on a rank with room, in the slot of the
//     replica that is least used there. Where such a rank holds only replicas that are
//     the only ones of their experts, the lightest is taken elsewhere first.
//   - A placement from the loads alone, made by Wrap, which needs E+R-1 slots for E
//     experts on R ranks. It serves for the first map.
//
// Planner applies them to all layers of a group. It moves only where the time saved
// over a horizon outweighs the price of the moves, and only as many replicas in a plan
// as the ranks have room to load beside the running map.
//
// The package has no I/O, no clock and no goroutines.
package placement
