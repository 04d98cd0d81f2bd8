// Package service is the one place that speaks to plain services: whole HTTP
// calls, of which some may not be repeated.
package service
