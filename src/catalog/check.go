package catalog

import (
	"fmt"
	"strings"
)

// Finding is an error in a document and its location.
type Finding struct {
	Location string
	Message  string
}

// Findings are the errors in a document. As an error value they list all of them.
type Findings []Finding

// Error returns all findings as one text.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.Location+": "+finding.Message)
	}
	return strings.Join(lines, "; ")
}

// Check returns every error in a document, nil if it is valid.
func Check(d Document) Findings {
	c := &checker{services: map[string]bool{}, routes: map[routeKey]string{}, accounts: map[string]bool{}, holders: map[Key]string{}}
	for i, service := range d.Services {
		c.service(i, service)
	}
	for i, route := range d.Routes {
		c.route(i, route)
	}
	for i := range d.Accounts {
		c.account(i, &d.Accounts[i])
	}
	return c.findings
}

type routeKey struct {
	host   string
	prefix string
}

type checker struct {
	services map[string]bool
	routes   map[routeKey]string
	accounts map[string]bool
	// holders maps keys to the names of the accounts that hold them.
	holders  map[Key]string
	findings Findings
}

func (c *checker) add(at, format string, arguments ...any) {
	c.findings = append(c.findings, Finding{Location: at, Message: fmt.Sprintf(format, arguments...)})
}

func (c *checker) service(i int, s Service) {
	at := fmt.Sprintf("services[%d]", i)
	if s.Name == "" {
		c.add(at, "has no name")
	}
	if c.services[s.Name] {
		c.add(at, "the name %q stands twice", s.Name)
	}
	c.services[s.Name] = true
}

func (c *checker) route(i int, r Route) {
	at := fmt.Sprintf("routes[%d] %q", i, r.Name)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(at, "the path prefix %q must begin and end with a slash", r.Prefix)
	}
	key := routeKey{host: canonicalHost(r.Host), prefix: r.Prefix}
	if other, taken := c.routes[key]; taken {
		c.add(at, "has the host and path prefix of route %q", other)
	}
	c.routes[key] = r.Name
	if r.Timeout <= 0 {
		c.add(at, "the time-out must be above 0")
	}
	c.splits(at, r)
}

func (c *checker) splits(at string, r Route) {
	total := 0
	for _, split := range r.Splits {
		if !c.services[split.Service] {
			c.add(at, "names the unknown service %q", split.Service)
		}
		if split.Weight < 0 {
			c.add(at, "the weight of service %q is below 0", split.Service)
		}
		total += split.Weight
	}
	if total <= 0 {
		c.add(at, "the weights of its services add up to 0")
	}
}

// account checks a client account. No finding contains a key.
func (c *checker) account(i int, a *Account) {
	at := fmt.Sprintf("accounts[%d] %q", i, a.Name)
	if a.Name == "" {
		c.add(at, "has no name")
	}
	if c.accounts[a.Name] {
		c.add(at, "the name %q stands twice", a.Name)
	}
	c.accounts[a.Name] = true
	if a.Limit.Rate < 0 || a.Limit.Burst < 0 {
		c.add(at, "the limit must not be below 0")
	}
	if a.Limit.Unit != Requests && a.Limit.Unit != Tokens {
		c.add(at, "the unit %q is not known", a.Limit.Unit)
	}
	for j, key := range a.Keys {
		keyAt := fmt.Sprintf("%s keys[%d]", at, j)
		other, taken := c.holders[key]
		switch {
		case key == "":
			c.add(keyAt, "is empty")
		case taken && other != a.Name:
			c.add(keyAt, "the client accounts %q and %q hold the same key (%s)", other, a.Name, key)
		}
		c.holders[key] = a.Name
	}
}
