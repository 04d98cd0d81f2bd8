// Command moorspool-entry takes clients' requests and routes them to backend servers.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/entry"
)

func main() { os.Exit(entry.Main(os.Args[1:])) }
