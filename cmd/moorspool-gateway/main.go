// Command moorspool-gateway receives clients' requests and routes them to backend servers.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/gateway"
)

func main() { os.Exit(gateway.Main(os.Args[1:])) }
