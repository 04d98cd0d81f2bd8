// Command moorspool-fleet-control runs a control node on the fleet platform; it holds the
// configuration and the registered replicas.
package main

import (
	"os"

	"github.com/moorspool/moorspool/platform"
	"github.com/moorspool/moorspool/src/fleet"
)

func main() { os.Exit(fleet.ControlMain(os.Args[1:], platform.Interface())) }
