// Command moorspool-control runs a control node, which holds the replicated state of an
// installation.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/control"
)

func main() { os.Exit(control.Main(os.Args[1:])) }
