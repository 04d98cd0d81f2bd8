package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Timeouts of the client. processTimeout applies to calls over the control protocol.
const (
	callTimeout    = 8 * time.Second
	processTimeout = 2 * time.Second
)

// client calls control nodes over the administration API and other processes over
// the control protocol, at the addresses that control nodes report.
type client struct {
	controlNodes   []string
	http           http.Client
	processClients map[string]*rpc.Client
	meter          rpc.Meter
}

func newClient(controlNodes string) *client {
	return &client{
		controlNodes:   strings.Split(controlNodes, ","),
		http:           http.Client{Timeout: callTimeout},
		processClients: map[string]*rpc.Client{},
	}
}

// errNoControlNode returns the error for the case that no control node answers.
func errNoControlNode(controlNodes []string, err error) error {
	return errors.Errorf("no control node answers at %s (%v); name others with --control-nodes or MOORSPOOL_CONTROL_NODES", strings.Join(controlNodes, ", "), err)
}

// callControlNode calls the control nodes one after the other until one answers.
func (c *client) callControlNode(ctx context.Context, method string, params, result any) error {
	var lastErr error
	for _, address := range c.controlNodes {
		err := c.post(ctx, address, method, params, result)
		if err == nil {
			return nil
		}
		lastErr = err
	}
	return errNoControlNode(c.controlNodes, lastErr)
}

func (c *client) post(ctx context.Context, address, method string, params, result any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "encoding the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+process.PathAdmin+method, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "creating the request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading the response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s: %s", address, response.Status, answer)
	}
	return errors.Wrap(json.Unmarshal(answer, result), "decoding the response")
}

// callProcess calls a process at its control address.
func (c *client) callProcess(ctx context.Context, address, method string, params, result any) error {
	processClient := c.processClients[address]
	if processClient == nil {
		processClient = rpc.NewClient(address, rpc.NewMux(), &c.meter, nil, processTimeout)
		c.processClients[address] = processClient
	}
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	return processClient.Call(ctx, method, params, result)
}

// configuration returns the configuration of the first control node that answers.
func (c *client) configuration(ctx context.Context) (*config.Set, error) {
	var update config.Update
	if err := c.callControlNode(ctx, wire.MethodConfig, wire.ConfigRequest{}, &update); err != nil {
		return nil, err
	}
	set, _ := config.NewSet(config.Revision{}, nil).Apply(update)
	return set, nil
}

// controlNodeStatuses returns the status of every control node that answers.
func (c *client) controlNodeStatuses(ctx context.Context) []wire.Status {
	var all []wire.Status
	for _, address := range c.controlNodes {
		var status wire.Status
		if err := c.post(ctx, address, wire.MethodStatus, wire.Empty{}, &status); err == nil {
			all = append(all, status)
		}
	}
	return all
}

// nodes returns the processes that control nodes know, each with its newest status.
func (c *client) nodes(ctx context.Context) ([]wire.NodeStatus, error) {
	statuses := c.controlNodeStatuses(ctx)
	if len(statuses) == 0 {
		return nil, errNoControlNode(c.controlNodes, errors.New("none answered a status request"))
	}
	newest := map[string]wire.NodeStatus{}
	var order []string
	for _, status := range statuses {
		if status.ControlNode == nil {
			continue
		}
		for _, node := range status.ControlNode.Nodes {
			latest, found := newest[node.Node]
			if !found {
				order = append(order, node.Node)
			}
			if !found || node.SeenAt.After(latest.SeenAt) {
				newest[node.Node] = node
			}
		}
	}
	var nodes []wire.NodeStatus
	for _, name := range order {
		nodes = append(nodes, newest[name])
	}
	return nodes, nil
}
