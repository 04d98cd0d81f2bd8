// Command moorspool-fleet-gateway runs a gateway on the fleet platform; it routes clients' requests
// to replicas.
package main

import (
	"os"

	"github.com/moorspool/moorspool/platform"
	"github.com/moorspool/moorspool/src/fleet"
)

func main() { os.Exit(fleet.GatewayMain(os.Args[1:], platform.Interface())) }
