package ctl

import (
	"context"
	"fmt"
	"os"
	"sort"

	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/settings"
)

// Command returns the root command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "coltsfootctl",
		Usage: "operate a coltsfootpitch deployment",
		Commands: []*cli.Command{
			configCommand(),
			timelineCommand(),
			{Name: "codes", Usage: "list the result codes", Action: listCodes},
		},
	}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform's object API", Required: true}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "work with the configuration document",
		Commands: []*cli.Command{
			{Name: "validate", Usage: "check a document", ArgsUsage: "FILE", Action: validate},
			{Name: "get", Usage: "print the current document", Flags: []cli.Flag{platformFlag()}, Action: get},
			{Name: "apply", Usage: "replace the current document", ArgsUsage: "FILE", Flags: []cli.Flag{platformFlag()}, Action: apply},
		},
	}
}

func readDocument(c *cli.Command) (*configuration.Document, error) {
	text, err := os.ReadFile(c.Args().First())
	if err != nil {
		return nil, err
	}
	return configuration.Parse(text)
}

func validate(_ context.Context, c *cli.Command) error {
	if _, err := readDocument(c); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "document is valid")
	return nil
}

func store(c *cli.Command) *configstore.Store {
	return configstore.New(platform.New(platform.Options{URL: c.String("platform")}))
}

func get(ctx context.Context, c *cli.Command) error {
	d, _, err := store(c).Load(ctx)
	if err != nil {
		return err
	}
	text, err := settings.Print(d)
	fmt.Fprint(c.Root().Writer, text)
	return err
}

func apply(ctx context.Context, c *cli.Command) error {
	d, err := readDocument(c)
	if err != nil {
		return err
	}
	version, err := store(c).Apply(ctx, d)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "accepted as version %d\n", version)
	return nil
}

func listCodes(_ context.Context, c *cli.Command) error {
	all := code.All()
	numbers := make([]int, 0, len(all))
	for n := range all {
		numbers = append(numbers, int(n))
	}
	sort.Ints(numbers)
	for _, n := range numbers {
		k := code.Code(n)
		fmt.Fprintf(c.Root().Writer, "%d %-24s %-16s %s\n", n, k, k.Outcome(), k.Info().Text)
	}
	return nil
}
