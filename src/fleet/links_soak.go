//go:build soak

package fleet

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/fault"
)

// linksSuffix is appended to the path of a gateway's settings to get the name of the file that holds
// the state of its links to replicas, a fault.LinkState. Without the file they are up.
const linksSuffix = ".links"

// linkPollInterval is how often that file is read.
const linkPollInterval = 20 * time.Millisecond

// simulateCuts returns a function that opens connections as the file beside the settings allows, from the
// gateway's own address, by which replicas tell the gateways apart.
func simulateCuts(settingsFile, address string, _ fault.DialFunc) fault.DialFunc {
	links := fault.NewLinks(exchange.DialFrom(net.ParseIP(address)))
	go func() {
		for {
			// Without a file the text is empty, which stands for links that are up.
			text, _ := os.ReadFile(settingsFile + linksSuffix)
			links.Set(fault.LinkState(strings.TrimSpace(string(text))))
			time.Sleep(linkPollInterval)
		}
	}()
	return links.Dial
}
