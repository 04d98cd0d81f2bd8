// Command moorspool-planner decides which models are loaded on the accelerators of its availability
// zone.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/planner"
)

func main() { os.Exit(planner.Main(os.Args[1:])) }
