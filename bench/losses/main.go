package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

type options struct {
	Target time.Duration `long:"target" default:"400ms" description:"the time a first event may take"`
	Pause  time.Duration `long:"pause" default:"250ms" description:"the time that may lie between two events"`
	Window int           `long:"window" default:"4" description:"seconds of a row"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(os.Stdin, os.Stdout, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run reads a log and writes the table of causes over time.
func run(in io.Reader, out io.Writer, o options) error {
	rows := map[int]map[Cause]int{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r, found := Parse(scanner.Text())
		if !found {
			continue
		}
		windowStart := int(r.Began) / max(o.Window, 1) * max(o.Window, 1)
		if rows[windowStart] == nil {
			rows[windowStart] = map[Cause]int{}
		}
		rows[windowStart][CauseOf(r, o.Target, o.Pause)]++
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "reading the log")
	}
	return writeTable(out, rows)
}

// writeTable prints a row for each window of time and one for all.
func writeTable(out io.Writer, rows map[int]map[Cause]int) error {
	all := map[Cause]int{}
	var starts []int
	for start, row := range rows {
		starts = append(starts, start)
		for cause, count := range row {
			all[cause] += count
		}
	}
	slices.Sort(starts)
	var causes []Cause
	for cause := range all {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		if all[a] != all[b] {
			return all[b] - all[a]
		}
		return strings.Compare(string(a), string(b))
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "from second\trequests\t"
	for _, cause := range causes {
		header += string(cause) + "\t"
	}
	fmt.Fprintln(table, header)
	for _, start := range starts {
		fmt.Fprintln(table, formatRow(fmt.Sprint(start), rows[start], causes))
	}
	fmt.Fprintln(table, formatRow("all", all, causes))
	return errors.Wrap(table.Flush(), "writing the table")
}

// formatRow returns the cells of a row.
func formatRow(name string, row map[Cause]int, causes []Cause) string {
	total := 0
	cells := ""
	for _, cause := range causes {
		total += row[cause]
		cells += fmt.Sprintf("%d\t", row[cause])
	}
	return fmt.Sprintf("%s\t%d\t%s", name, total, cells)
}
