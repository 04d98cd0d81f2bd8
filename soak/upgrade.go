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
	// upgradeSpan is how long the load goes on in a measurement of an upgrade.
	upgradeSpan = 60 * time.Second
	// upgradeAfter is when it begins.
	upgradeAfter = 7 * time.Second
	// stopLimit is how long a process has to end after it was told to.
	stopLimit = 8 * time.Second
	// aside is how long clients keep away from a gateway before and after it is replaced, as the
	// platform's balancer does.
	aside = time.Second
)

// buildOf builds the programs of a commit of this repository into a folder that is kept, and
// returns that.
func buildOf(commit string) (string, error) {
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

// program returns where a member's program lies: that of its own build if it has one.
func (in *installation) program(m *member) string {
	if m.bin != "" {
		return filepath.Join(m.bin, m.program)
	}
	return filepath.Join(in.options.Bin, m.program)
}

// setBuild lets members start with a build from now on.
func (in *installation) setBuild(bin string) {
	for _, m := range in.members {
		m.bin = bin
	}
}

// replace ends a member in order and starts it with a build, with its settings and folder.
func (in *installation) replace(m *member, bin string) error {
	m.trouble()
	time.Sleep(aside)
	m.signal(syscall.SIGTERM)
	if !m.wait(stopLimit) {
		return errors.Errorf("%s did not end", m.name)
	}
	m.bin = bin
	if err := in.start(m); err != nil {
		return err
	}
	time.Sleep(aside)
	m.calm()
	return nil
}

// upgradeOrder returns the members in the order in which they are replaced.
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

// upgrade replaces all members one after the other with another build.
func upgrade(to string) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, _ *clients) {
		time.Sleep(upgradeAfter)
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
