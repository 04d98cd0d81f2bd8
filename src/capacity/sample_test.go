package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestFitFindsALine(t *testing.T) {
	l := fit([]Sample{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	is := is.New(t)
	is.True(l.slope > 1.999 && l.slope < 2.001)
	is.True(l.valueAt(10) > 22.99 && l.valueAt(10) < 23.01)
}

// TestPageMatchesItsSamples checks that the tables in docs/CAPACITY.md match
// docs/capacity.csv and that every series has at least three sizes.
func TestPageMatchesItsSamples(t *testing.T) {
	samples, err := ReadCSV("../../docs/capacity.csv")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range []string{Render(samples), RenderRoles(samples)} {
		if !strings.Contains(string(page), table) {
			t.Error("a table in docs/CAPACITY.md is not that of docs/capacity.csv; run make capacity")
		}
	}
	for _, kind := range allSeries {
		if n := len(samplesOf(samples, kind.name)); n < 3 {
			t.Errorf("%s was measured at %d sizes", kind.name, n)
		}
	}
}

// Samples of two series were written under names that the page does not read, so that it kept showing those
// of the run before.
func TestSamplesOfUnknownSeriesAreRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "samples.csv")
	if err := WriteCSV(file, []Sample{{Series: "entry: control traffic, idle", Size: 1, Value: 1}}); err == nil {
		t.Error("a sample of an unknown series was written")
	}
	if err := WriteCSV(file, []Sample{{Series: "gateway: control traffic, idle", Size: 1, Value: 1}}); err != nil {
		t.Error(err)
	}
}
