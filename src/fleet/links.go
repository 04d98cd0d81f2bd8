//go:build !soak

package fleet

import "github.com/moorspool/moorspool/src/fault"

// simulateCuts returns the function that opens connections to replicas unchanged. Only soak test
// builds simulate cut links.
func simulateCuts(_, _ string, dial fault.DialFunc) fault.DialFunc { return dial }
