// Package limit protects a gateway from overload with bounded priority queues and a budget for
// retries.
package limit
