package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// knownRedFile lists the known failures.
const knownRedFile = "../KNOWN-RED.txt"

// findingEntry is the name of the entries of knownRedFile whose cause is, in quotes, the text of findings that are
// passed over. Such an entry has a check and a class of its findings, not a seed.
const findingEntry = "soak-finding"

// knownFindings returns the texts of the findings that a list of known failures passes over.
func knownFindings(list string) []string {
	var texts []string
	for line := range strings.Lines(list) {
		name, rest, _ := strings.Cut(line, "|")
		if strings.TrimSpace(name) != findingEntry {
			continue
		}
		if _, quoted, found := strings.Cut(rest, `"`); found {
			if text, _, closed := strings.Cut(quoted, `"`); closed && text != "" {
				texts = append(texts, text)
			}
		}
	}
	return texts
}

// known reports whether a finding is one of those that are passed over.
func known(texts []string, finding string) bool {
	for _, text := range texts {
		if strings.Contains(finding, text) {
			return true
		}
	}
	return false
}

// reportFindings fails a test for each finding that the list of known failures does not pass over, and prints the others.
func reportFindings(t *testing.T, findings []string) {
	t.Helper()
	list, err := os.ReadFile(knownRedFile)
	if err != nil {
		t.Fatal(err)
	}
	texts := knownFindings(string(list))
	for _, finding := range findings {
		if known(texts, finding) {
			t.Log("known red, passed over:", finding)
			continue
		}
		t.Error(finding)
	}
}

// TestOnlyListedFindingsArePassedOver: as long as the whole soak was passed over, none of its findings could fail the tests.
func TestOnlyListedFindingsArePassedOver(t *testing.T) {
	is := is.New(t)
	texts := knownFindings("soak-1 | a seed \"with a quote\" | 1\nsoak-finding | \"gateways without links\", seen often | 2\nsoak-finding | no quote | 3\nTestA | x | 4\n")
	is.Equal(texts, []string{"gateways without links"})
	is.True(known(texts, "recover: 08:00:00 gateways without links to replicas served 1 of 2"))
	is.True(!known(texts, "lost: 08:00:00 request q1 ended with status 200"))
	is.True(!known(nil, ""))
}
