package process

import (
	"fmt"
	"os"

	"github.com/moorspool/moorspool/src/option"
)

// Program describes a server's binary.
type Program struct {
	// Name is the binary's name.
	Name string
	// Load reads and checks the settings and returns the function that runs the server.
	Load func(flags option.Flags) (run func() error, err error)
	// Command runs a subcommand, given in place of settings; nil if the binary has none.
	Command func(words []string) error
}

// The exit codes of servers.
const (
	exitOK     = 0
	exitFailed = 1
)

// Main runs a program and returns its exit code.
func Main(arguments []string, p Program) int {
	if err := p.main(arguments); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return exitFailed
	}
	return exitOK
}

func (p Program) main(arguments []string) error {
	flags, err := option.Parse(p.Name, arguments)
	if err != nil {
		return err
	}
	if flags.Version {
		fmt.Println(p.Name, option.Version)
		return nil
	}
	if len(flags.Args.Command) > 0 && p.Command != nil {
		return p.Command(flags.Args.Command)
	}
	run, err := p.Load(flags)
	if err != nil {
		return err
	}
	if flags.Check {
		fmt.Println(flags.Settings, "is valid")
		return nil
	}
	return run()
}
