// Package dial makes the HTTP clients that reach backend servers: it tells a
// failed dial, after which nothing can have run, from every other failure, and
// lets an answer be abandoned together with its connection.
package dial
