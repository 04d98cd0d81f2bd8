// Package catalog holds the configuration that operators submit under a version: routes, the
// services behind them and the models of the engines. It validates a document and finds the route
// of a request. It does no input or output.
package catalog
