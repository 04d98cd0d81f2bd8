package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// Timing of the balancer. It polls the gateways at an interval, so that its view of them lags.
const (
	balancerInterval = 500 * time.Millisecond
	balancerTimeout  = 300 * time.Millisecond
)

// balancer emulates the platform's load balancer: it sends new requests to the gateways that
// reported ready at the last poll.
type balancer struct {
	gateways []GatewayAddress
	client   *client.Client
	mu       sync.Mutex
	ready    []string
}

func newBalancer(gateways []GatewayAddress) (*balancer, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(balancerTimeout), client.WithClientReadTimeout(balancerTimeout))
	return &balancer{gateways: gateways, client: c}, err
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.poll(ctx)
		sleep(ctx, balancerInterval)
	}
}

func (b *balancer) poll(ctx context.Context) {
	var ready []string
	for _, gateway := range b.gateways {
		status, _, err := b.client.Get(ctx, nil, "http://"+gateway.Admin+"/readyz")
		if err == nil && status == consts.StatusOK {
			ready = append(ready, gateway.Clients)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns the address of a random ready gateway, "" if none is ready.
func (b *balancer) pick(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[random.IntN(len(b.ready))]
}

// get sends a GET request and returns the body of the answer.
func (b *balancer) get(ctx context.Context, address, path string) ([]byte, error) {
	_, body, err := b.client.Get(ctx, nil, "http://"+address+path)
	return body, err
}
