// Package ratelimit issues permits for requests to backend servers that accept only a certain
// number of requests a second from all gateways: cold ones, and those that announce a limit in
// their answers.
//
// The leader of the control nodes is the only issuer; it spaces the permits of each backend server.
// A gateway asks for a permit for each request, waits for the permit's time and uses it within
// PermitTTL of that time. It computes the permit's time from when it asked, not from when the
// answer arrived. Late answers, suspended hosts and leader changes therefore add little to the
// number of requests in any few seconds.
//
// The issuer also keeps the limit in force, as reported by gateways with their requests for
// permits. Reports are ordered by the permits of the requests that were answered, not by clocks.
//
// Where no issuer answers, each control node and each gateway has a small fixed share of the rate,
// so that the total over all parts of a partitioned installation stays within the bound.
package ratelimit
