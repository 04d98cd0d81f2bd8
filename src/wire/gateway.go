package wire

// GatewayPeer is a gateway to which others can forward requests.
type GatewayPeer struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Address is where the gateway accepts forwarded requests.
	Address string `json:"address"`
	// Unreachable lists the services whose replicas the gateway can't connect to.
	Unreachable []string `json:"unreachable,omitempty"`
	// Leaving is set while the gateway is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Change orders the states of one gateway. It is the time of the state in microseconds on the
	// gateway's clock, so that a started gateway replaces its earlier states.
	Change int64 `json:"change"`
}

// GatewayList is a part of the gateways, some of each availability zone.
type GatewayList struct {
	Gateways []GatewayPeer `json:"gateways"`
}
