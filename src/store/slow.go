//go:build !soak

package store

// delaySync does nothing: only builds for the soak delay their syncs.
func delaySync(string) {}
