package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// upgradePause is the pause between two replacements.
	upgradePause = 2 * time.Second
	// upgradeDuration is how long the load runs while an upgrade is measured.
	upgradeDuration = 60 * time.Second
	// upgradeStart is when the first process is replaced.
	upgradeStart = 7 * time.Second
	// stopTimeout is how long a process may take to exit after SIGTERM.
	stopTimeout = 8 * time.Second
	// balancerLag is how long before and after its replacement clients send no requests to a
	// gateway, as with the platform's balancer.
	balancerLag = time.Second
)

// buildCommit builds the programs of a commit of this repository and returns their folder, which is
// kept for later runs.
func buildCommit(commit string) (string, error) {
	folder, err := filepath.Abs(filepath.Join("run", "builds", commit))
	if err != nil {
		return "", err
	}
	bin := filepath.Join(folder, "target")
	if _, err := os.Stat(filepath.Join(bin, "moorspool-fleet-gateway")); err == nil {
		return bin, nil
	}
	if err := os.MkdirAll(filepath.Dir(folder), 0o755); err != nil {
		return "", err
	}
	steps := [][]string{
		{"git", "clone", "--quiet", "--shared", "--no-checkout", ".", folder},
		{"git", "-C", folder, "checkout", "--quiet", "--detach", commit},
		{"go", "build", "-C", folder, "-tags", "stdjson", "-o", bin + string(filepath.Separator), "./cmd/moorspool-fleet-gateway", "./cmd/moorspool-fleet-control"},
	}
	for _, step := range steps {
		if out, err := exec.Command(step[0], step[1:]...).CombinedOutput(); err != nil {
			return "", errors.Wrapf(err, "%v: %s", step, out)
		}
	}
	return bin, nil
}

// program returns the path of a member's program, from the member's own build if it has one.
func (in *installation) program(m *member) string {
	if m.bin != "" {
		return filepath.Join(m.bin, m.program)
	}
	return filepath.Join(in.options.Bin, m.program)
}

// setBuild sets the build that members are started with from now on.
func (in *installation) setBuild(bin string) {
	for _, m := range in.members {
		m.bin = bin
	}
}

// replace stops a member gracefully and starts it from another build with the same settings and data
// folder.
func (in *installation) replace(m *member, bin string) error {
	m.beginFault()
	time.Sleep(balancerLag)
	m.signal(syscall.SIGTERM)
	if !m.waitForExit(stopTimeout) {
		return errors.Errorf("%s did not end", m.name)
	}
	m.bin = bin
	if err := in.start(m); err != nil {
		return err
	}
	time.Sleep(balancerLag)
	m.endFault()
	return nil
}

// upgradeOrder returns the members in the order of their replacement.
func (in *installation) upgradeOrder(order string, random *rand.Rand) []*member {
	controls := append([]*member(nil), in.controlNodes()...)
	gateways := append([]*member(nil), in.gatewayNodes()...)
	switch order {
	case "gateways":
		return append(gateways, controls...)
	case "mixed":
		all := append(controls, gateways...)
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all
	}
	return append(controls, gateways...)
}

// upgrade replaces all members one at a time with another build.
func upgrade(to string) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, _ *clients) {
		time.Sleep(upgradeStart)
		for _, m := range r.in.upgradeOrder(r.in.options.Order, rand.New(rand.NewPCG(r.in.options.Seed, 12))) {
			if ctx.Err() != nil {
				fmt.Println("the upgrade was not over in time")
				return
			}
			if err := r.in.replace(m, to); err != nil {
				fmt.Println("upgrade:", err)
				return
			}
			time.Sleep(upgradePause)
		}
		<-ctx.Done()
	}
}
