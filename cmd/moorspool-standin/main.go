// Command moorspool-standin runs the stand-ins and the load tool of tests and the demo.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }
