// Package dial creates the HTTP clients for backend servers. They report a failure to connect, after
// which the request cannot have run, separately from all other failures, and allow a response to be
// aborted by closing its connection.
package dial
