// Command moorspool is the operators' command line.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
