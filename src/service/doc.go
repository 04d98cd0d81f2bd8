// Package service is the HTTP client for plain services, whose calls are not streamed. Some calls
// must not be sent twice.
package service
