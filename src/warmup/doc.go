// Package warmup issues permits for requests to backend servers that are cold: for a time after a
// start one bears only so many requests a second, counted over all gateways.
//
// One issuer, the leader of the control nodes, spaces the permits for each cold backend server. A
// gateway asks it for each request that had better go to a cold one, waits for the permit's time and
// uses it within a short while, by the time at which it asked, so that late answers, suspended hosts
// and a change of leaders add next to nothing to what one second sees.
package warmup
