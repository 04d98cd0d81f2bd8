//go:build !soak

package store

// delaySync does nothing; only soak test builds delay syncs.
func delaySync(string) {}
