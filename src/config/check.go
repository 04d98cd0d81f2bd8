package config

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// maxAccelerators limits the accelerators of one replica.
const maxAccelerators = 64

// checker validates a set and collects the findings.
type checker struct {
	set       *Set
	locations map[Key]Location
	findings  Findings
}

// Check validates a whole set and returns all findings. places holds where objects
// were read from; findings about objects that it lacks have no line and column.
func Check(set *Set, locations map[Key]Location) Findings {
	c := &checker{set: set, locations: locations}
	for _, object := range set.Objects() {
		c.checkObject(object)
	}
	if len(c.findings) == 0 {
		c.checkCapacity()
	}
	return c.findings
}

// CheckSources validates the set that consists of the sources alone and reports
// duplicates among them.
func CheckSources(sources []Source) Findings {
	locations := map[Key]Location{}
	var objects []Object
	var findings Findings
	for _, source := range sources {
		key := source.object.Key
		if _, duplicate := locations[key]; duplicate {
			findings = append(findings, source.location.At("name", key.String()+" is written twice"))
			continue
		}
		locations[key] = source.location
		objects = append(objects, source.object)
	}
	return append(findings, Check(NewSet(Revision{}, objects), locations)...)
}

func (c *checker) report(key Key, path, format string, args ...any) {
	location, found := c.locations[key]
	if !found {
		location = Location{file: key.String()}
	}
	c.findings = append(c.findings, location.At(path, fmt.Sprintf(format, args...)))
}

func (c *checker) checkObject(object Object) {
	key := object.Key
	if !namePattern.MatchString(key.Name) {
		c.report(key, "name", "name %q must be 1 to 63 of a-z, 0-9, '-' and '.', starting and ending with a letter or digit", key.Name)
	}
	switch key.Kind {
	case KindModel:
		c.checkModel(key, object.Model)
	case KindAdapter:
		c.checkAdapter(key, object.Adapter)
	case KindLabel:
		c.checkLabel(key, object.Label)
	case KindSelector:
		c.checkSelector(key, object.Selector)
	case KindPool:
		c.checkPool(key, object.Pool)
	case KindService:
		c.checkService(key, object.Service)
	case KindPolicy:
		c.checkPolicy(key, object.Policy)
	}
}

func (c *checker) checkModel(key Key, model *Model) {
	if model.Memory <= 0 {
		c.report(key, "memory", "memory must be above zero")
	}
	if model.Version == "" {
		c.report(key, "version", "version is missing")
	}
	if model.Target.FirstToken < 0 || model.Target.BetweenTokens < 0 {
		c.report(key, "target", "target must not be negative")
	}
}

func (c *checker) checkAdapter(key Key, adapter *Adapter) {
	if c.set.Model(adapter.Model) == nil {
		c.report(key, "model", "model %q does not exist", adapter.Model)
	}
	if adapter.Memory <= 0 {
		c.report(key, "memory", "memory must be above zero")
	}
	if c.set.Model(key.Name) != nil {
		c.report(key, "name", "%q names a model as well; requests could not tell them apart", key.Name)
	}
}

func (c *checker) checkLabel(key Key, label *Label) {
	if c.set.Model(label.PointsTo) == nil && c.set.Adapter(label.PointsTo) == nil {
		c.report(key, "pointsTo", "%q is neither a model nor an adapter", label.PointsTo)
	}
	if c.set.Model(key.Name) != nil || c.set.Adapter(key.Name) != nil {
		c.report(key, "name", "%q names a model or adapter as well; requests could not tell them apart", key.Name)
	}
}

func (c *checker) checkSelector(key Key, selector *Selector) {
	if len(selector.Match) == 0 {
		c.report(key, "match", "match needs at least one label")
	}
	if selector.Together && selector.Apart {
		c.report(key, "apart", "together and apart exclude each other")
	}
	if selector.Copies < 0 {
		c.report(key, "copies", "copies must not be negative")
	}
	existing := c.zones()
	for _, zone := range selector.Zones {
		if _, found := existing[zone]; !found {
			c.report(key, "zones", "no pool has replicas in availability zone %q", zone)
		}
	}
	for _, name := range selector.Outranks {
		other := c.set.objects[Key{KindSelector, name}].Selector
		if other == nil {
			c.report(key, "outranks", "selector %q does not exist", name)
			continue
		}
		if other.Rank >= selector.Rank {
			c.report(key, "outranks", "rank %d is not above that of %q, which is %d", selector.Rank, name, other.Rank)
		}
	}
}

func (c *checker) checkPool(key Key, pool *Pool) {
	if pool.Accelerators < 0 || pool.Accelerators > maxAccelerators {
		c.report(key, "accelerators", "accelerators must be 0 to %d", maxAccelerators)
	}
	if pool.Accelerators > 0 && pool.Memory <= pool.Overhead {
		c.report(key, "memory", "memory %s must be above overhead %s", pool.Memory, pool.Overhead)
	}
	if len(pool.Zones) == 0 {
		c.report(key, "zones", "zones must name at least one availability zone")
	}
	for _, zone := range pool.Zones {
		if zone.Zone == "" || zone.Replicas < 1 {
			c.report(key, "zones", "each of zones needs a zone and at least one of replicas")
		}
	}
}

func (c *checker) checkService(key Key, service *Service) {
	for _, call := range service.Calls {
		if call.Method == "" || !strings.HasPrefix(call.Path, "/") {
			c.report(key, "calls", "each of calls needs a method and a path that starts with /")
		}
	}
	if service.ClaimExpiry < 0 {
		c.report(key, "claimExpiry", "claimExpiry must not be negative")
	}
}

func (c *checker) checkPolicy(key Key, policy *Policy) {
	if key.Name != "default" {
		c.report(key, "name", "the only policy is named default")
	}
	if policy.Weigh != WeighAttainment && policy.Weigh != WeighMoves {
		c.report(key, "weigh", "weigh must be attainment or moves")
	}
	if policy.Store.LoadsPerSecond <= 0 || policy.Store.FullSpeed < 1 {
		c.report(key, "store", "store needs loadsPerSecond above zero and fullSpeed of at least 1")
	}
}

// zoneMemory holds the memory of an availability zone: the sum and the largest of
// its accelerators, and what the models that are restricted to it need.
type zoneMemory struct {
	capacity Bytes
	largest  Bytes
	need     Bytes
}

func (c *checker) zones() map[string]*zoneMemory {
	sums := map[string]*zoneMemory{}
	for _, object := range c.set.OfKind(KindPool) {
		usable := object.Pool.Usable()
		for _, zone := range object.Pool.Zones {
			sum := sums[zone.Zone]
			if sum == nil {
				sum = &zoneMemory{}
				sums[zone.Zone] = sum
			}
			sum.capacity += usable * Bytes(object.Pool.Accelerators*zone.Replicas)
			if usable > sum.largest {
				sum.largest = usable
			}
		}
	}
	return sums
}

// checkCapacity rejects a configuration if one copy of every model can't be
// resident at the same time. It compares only the sums of memory and the largest
// accelerator. If the sums fit but no placement exists, the planner reports
// model-unplaced.
func (c *checker) checkCapacity() {
	sums := c.zones()
	if len(sums) == 0 || len(c.set.modelNames) == 0 {
		return
	}
	names := make([]string, 0, len(sums))
	var capacity, largest Bytes
	for name, sum := range sums {
		names = append(names, name)
		capacity += sum.capacity
		if sum.largest > largest {
			largest = sum.largest
		}
	}
	sort.Strings(names)
	var need Bytes
	for _, model := range c.set.modelNames {
		footprint := c.set.Footprint(model)
		need += footprint
		if footprint > largest {
			c.report(Key{KindModel, model}, "memory", "a copy takes %s with its KV floor and adapters, but the largest accelerator has %s", footprint, largest)
		}
		allowed, limited := c.set.AllowedZones(model)
		if limited && len(allowed) == 0 {
			c.report(Key{KindModel, model}, "labels", "its selectors leave it no availability zone")
		}
		if len(allowed) == 1 && sums[allowed[0]] != nil {
			sums[allowed[0]].need += footprint
		}
	}
	if need > capacity {
		c.report(Key{KindModel, c.set.modelNames[0]}, "memory", "all %d models need %s to be resident once, but the accelerators of %s have %s", len(c.set.modelNames), need, strings.Join(names, ", "), capacity)
	}
	for _, name := range names {
		if sums[name].need > sums[name].capacity {
			c.report(Key{KindModel, c.set.modelNames[0]}, "memory", "models that may only live in %s need %s, but it has %s", name, sums[name].need, sums[name].capacity)
		}
	}
}

// AllowedZones returns the availability zones that the selectors allow for a
// model, sorted, and whether any selector limits them.
func (s *Set) AllowedZones(model string) (allowed []string, limited bool) {
	for _, object := range s.OfKind(KindSelector) {
		if len(object.Selector.Zones) == 0 || !object.Selector.Matches(s.Model(model)) {
			continue
		}
		if !limited {
			allowed = append([]string(nil), object.Selector.Zones...)
			limited = true
			continue
		}
		allowed = intersect(allowed, object.Selector.Zones)
	}
	sort.Strings(allowed)
	return allowed, limited
}

func intersect(a, b []string) []string {
	var common []string
	for _, x := range a {
		for _, y := range b {
			if x == y {
				common = append(common, x)
			}
		}
	}
	return common
}
