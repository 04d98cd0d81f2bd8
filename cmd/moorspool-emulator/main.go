// Command moorspool-emulator runs the emulators, the load tool and the measurements of the tests and
// the demo.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/capacity"
	"github.com/moorspool/moorspool/src/emulator"
	"github.com/moorspool/moorspool/src/policy"
)

func main() {
	measure := emulator.Command{Name: "capacity", Short: "measure the slopes of docs/CAPACITY.md", Data: &capacity.Command{}}
	bench := emulator.Command{Name: "policy", Short: "run the policy bench on experiments", Data: &policy.Command{}}
	os.Exit(emulator.Main(os.Args[1:], measure, bench))
}
