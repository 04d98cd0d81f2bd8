// Command moorspool-keeper holds the replicated state of an installation.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/keeper"
)

func main() { os.Exit(keeper.Main(os.Args[1:])) }
