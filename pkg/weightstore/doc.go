// Package weightstore shares the rate of the weight store among rank groups.
//
// Time is divided into windows of fixed length. A budget object at the platform stores what was
// granted in the newest window; a group that needs to load weights adds its grant by conditional
// update. The budget needs no owner. A grant whose response was lost is wasted, and is never
// granted twice.
//
// Windows are numbered by the clocks of the writers, and the number in the object never
// decreases. With clocks that differ by at most e, the grants in any time T stay below
// rate * (T + 2*window + 2*e).
//
// Groups are distributed by hash over a fixed number of budget objects, each with an equal part
// of the rate, so that conflicts stay few at any number of groups.
package weightstore
