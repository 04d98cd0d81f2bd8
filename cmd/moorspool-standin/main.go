// Command moorspool-standin runs the stand-ins, the load tool and the
// measurements of tests and the demo.
package main

import (
	"os"

	"github.com/moorspool/moorspool/src/capacity"
	"github.com/moorspool/moorspool/src/policy"
	"github.com/moorspool/moorspool/src/standin"
)

func main() {
	measure := standin.Command{Name: "capacity", Short: "measure the slopes of docs/CAPACITY.md", Data: &capacity.Command{}}
	bench := standin.Command{Name: "policy", Short: "run the policy bench on experiments", Data: &policy.Command{}}
	os.Exit(standin.Main(os.Args[1:], measure, bench))
}
