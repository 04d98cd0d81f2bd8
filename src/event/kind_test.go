package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const catalogueFile = "../../docs/EVENTS.md"

// eventsPage returns the expected text of docs/EVENTS.md.
func eventsPage() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery decision is an event with a number. `moorspool watch` streams them, `moorspool\nexplain WORD` strings them together, and each is a log line with `event=NUMBER`.\nEvents of single requests are logged only at level debug. Numbers are never\nreused. Written by `make events` from `src/event/kind.go`.\n\n| number | name | meaning |\n|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Kind(), e.Name(), e.Meaning())
	}
	return b.String()
}

// TestCatalogue checks that docs/EVENTS.md matches the catalogue and that numbers are unique.
// UPDATE_EVENTS=1 writes the page.
func TestCatalogue(t *testing.T) {
	if os.Getenv("UPDATE_EVENTS") != "" {
		if err := os.WriteFile(catalogueFile, []byte(eventsPage()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(catalogueFile)
	if err != nil || string(written) != eventsPage() {
		t.Errorf("docs/EVENTS.md differs from the output of make events (%v)", err)
	}
	seen := map[Kind]bool{}
	for _, e := range Catalogue() {
		if seen[e.Kind()] {
			t.Errorf("number %d appears twice", e.Kind())
		}
		seen[e.Kind()] = true
	}
}
