package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/settings"
)

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform's object API", Required: true}
}

func sectionFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "section", Usage: "only this `SECTION`; repeatable"}
}

func configCommand() *cli.Command {
	p := platformFlag()
	return &cli.Command{
		Name:  "config",
		Usage: "work with the configuration document",
		Commands: []*cli.Command{
			{Name: "validate", Usage: "check a document", ArgsUsage: "FILE", Action: validateDocument},
			{Name: "get", Usage: "print the current document", Flags: []cli.Flag{p, sectionFlag()}, Action: printConfig},
			{Name: "diff", Usage: "show what a document would change", ArgsUsage: "FILE", Flags: []cli.Flag{p, sectionFlag()}, Action: printDiff},
			{Name: "apply", Usage: "edit the document, or some of its sections", ArgsUsage: "FILE", Flags: applyFlags(), Action: applyDocument},
			{Name: "history", Usage: "list the newest accepted edits", Flags: []cli.Flag{p}, Action: printHistory},
			{Name: "status", Usage: "show where the newest version is in force", Flags: append(operatorFlags(), p), Action: printStatus},
			{Name: "collect", Usage: "remove contents that no version of the history names", Flags: []cli.Flag{p}, Action: collectContents},
		},
	}
}

func applyFlags() []cli.Flag {
	return []cli.Flag{
		platformFlag(),
		sectionFlag(),
		&cli.Int64Flag{Name: "base", Usage: "`VERSION` that the file was made from; the default is the version in the file"},
		&cli.StringFlag{Name: "edit", Usage: "`ID` of the edit; give it again after an unsettled answer"},
		&cli.StringFlag{Name: "author", Usage: "`NAME` for the history; the default is the user's"},
		&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "how long to ride out faults of the platform"},
		&cli.Int64Flag{Name: "floor", Usage: "refuse to build on a version below `VERSION`, the highest one known to be in force"},
	}
}

// readDocument reads the document in the file argument. If sections are selected, it returns current
// with these sections replaced by those of the file.
func readDocument(c *cli.Command, current *configuration.Document) (*configuration.Document, error) {
	text, err := os.ReadFile(c.Args().First())
	if err != nil {
		return nil, err
	}
	selected := selectedSections(c)
	if len(selected) == 0 {
		return configuration.Parse(text)
	}
	fromFile := &configuration.Document{Limits: configuration.DefaultLimits()}
	if err := settings.Parse(text, fromFile); err != nil {
		return nil, err
	}
	d := *current
	for _, s := range selected {
		configuration.CopySection(&d, fromFile, s)
	}
	d.Version = fromFile.Version
	return &d, configuration.Check(&d)
}

// selectedSections returns the values of the flag --section.
func selectedSections(c *cli.Command) []configuration.Section {
	var out []configuration.Section
	for _, s := range c.StringSlice("section") {
		out = append(out, configuration.Section(s))
	}
	return out
}

func validateDocument(_ context.Context, c *cli.Command) error {
	if _, err := readDocument(c, nil); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "document is valid")
	return nil
}

func newConfigStore(c *cli.Command) *configstore.Store {
	return configstore.New(platform.New(platform.Options{URL: c.String("platform")}))
}

// loadDocument returns the current document. It is an error if the platform stores none.
func loadDocument(ctx context.Context, c *cli.Command) (*configuration.Document, error) {
	d, _, err := newConfigStore(c).Load(ctx)
	if err == nil && d == nil {
		err = oops.Errorf("no configuration is stored on the platform")
	}
	return d, err
}

func printConfig(ctx context.Context, c *cli.Command) error {
	d, err := loadDocument(ctx, c)
	if err != nil {
		return err
	}
	text, err := formatSections(d, selectedSections(c))
	fmt.Fprint(c.Root().Writer, text)
	return err
}

// formatSections formats the version and the selected sections as YAML, or the whole document if none
// are selected.
func formatSections(d *configuration.Document, selected []configuration.Section) (string, error) {
	if len(selected) == 0 {
		return settings.Format(d)
	}
	text := fmt.Sprintf("version: %d\n", d.Version)
	for _, s := range selected {
		v, err := sectionValue(d, s)
		if err != nil {
			return "", err
		}
		t, err := settings.Format(map[configuration.Section]any{s: v})
		if err != nil {
			return "", err
		}
		text += t
	}
	return text, nil
}

func sectionValue(d *configuration.Document, s configuration.Section) (any, error) {
	switch s {
	case configuration.ZonesSection:
		return d.Zones, nil
	case configuration.ModelsSection:
		return d.Models, nil
	case configuration.ServicesSection:
		return d.Services, nil
	case configuration.OrganisationsSection:
		return d.Organisations, nil
	case configuration.LimitsSection:
		return d.Limits, nil
	}
	return nil, oops.Errorf("unknown section %q; the sections are %v", s, configuration.Sections())
}

func printDiff(ctx context.Context, c *cli.Command) error {
	current, err := loadDocument(ctx, c)
	if err != nil {
		return err
	}
	edited, err := readDocument(c, current)
	if err != nil {
		return err
	}
	u, err := configuration.Diff(current, edited)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if len(u.Changes) == 0 {
		fmt.Fprintln(out, "no change")
	}
	for _, change := range u.Changes {
		printChange(out, change)
	}
	return nil
}

// printChange prints a changed section: removed items, added or changed items, or its full content.
func printChange(out io.Writer, change configuration.Change) {
	fmt.Fprintf(out, "%s:\n", change.Section)
	for _, name := range change.Removed {
		fmt.Fprintf(out, "  - %s\n", name)
	}
	if len(change.Upserts) > 0 {
		fmt.Fprintf(out, "  + %s\n", change.Upserts)
		return
	}
	fmt.Fprintf(out, "  = %s\n", change.FullContent)
}

func applyDocument(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	s := newConfigStore(c)
	var current *configuration.Document
	if len(selectedSections(c)) > 0 {
		d, _, err := s.Load(ctx)
		if err != nil {
			return err
		}
		current = d
	}
	edited, err := readDocument(c, current)
	if err != nil {
		return err
	}
	e := configstore.Edit{
		ID: c.String("edit"), Author: authorName(c), BaseVersion: edited.Version, Document: edited, Sections: selectedSections(c), MinVersion: c.Int64("floor"),
	}
	if c.IsSet("base") {
		e.BaseVersion = c.Int64("base")
	}
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	r, err := s.Edit(ctx, e)
	return printEditResult(c.Root().Writer, e.ID, r, err)
}

// authorName returns the flag --author or else the name of the current user.
func authorName(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// printEditResult prints the outcome of an edit and returns err.
func printEditResult(out io.Writer, id string, r configstore.Result, err error) error {
	var conflict *configuration.Conflict
	switch {
	case errors.As(err, &conflict):
		fmt.Fprintf(out, "%d %s: %v\n", code.ConfigurationConflict, code.ConfigurationConflict, conflict)
		fmt.Fprintf(out, "theirs: %s\nmine: %s\n", conflict.CurrentValue, conflict.EditedValue)
	case errors.Is(err, configstore.ErrOutcomeUnknown):
		fmt.Fprintf(out, "unsettled: ask again with --edit %s\n", id)
	case err != nil:
	case r.Unchanged:
		fmt.Fprintf(out, "version %d is already so\n", r.Version)
	case r.Rebased:
		fmt.Fprintf(out, "accepted as version %d (edit %s), on top of edits of other sections\n", r.Version, id)
	default:
		fmt.Fprintf(out, "accepted as version %d (edit %s)\n", r.Version, id)
	}
	return err
}

func printHistory(ctx context.Context, c *cli.Command) error {
	h, _, err := newConfigStore(c).Head(ctx)
	if err != nil {
		return err
	}
	for _, e := range h.History {
		at := time.UnixMilli(e.AtMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(c.Root().Writer, "version=%d at=%s author=%s edit=%s", e.Version, at, e.Author, e.ID)
		if e.Repair {
			fmt.Fprint(c.Root().Writer, " repair=true")
		}
		fmt.Fprintln(c.Root().Writer, " sections="+changedSections(e.PreviousHashes))
	}
	return nil
}

// changedSections returns the names of the sections that an edit changed, separated by commas.
// previous contains their hashes before the edit.
func changedSections(previous configuration.SectionHashes) string {
	names := ""
	for _, s := range configuration.Sections() {
		if _, ok := previous[s]; !ok {
			continue
		}
		if names != "" {
			names += ","
		}
		names += string(s)
	}
	return names
}

func collectContents(ctx context.Context, c *cli.Command) error {
	n, err := newConfigStore(c).Collect(ctx)
	if err == nil {
		fmt.Fprintf(c.Root().Writer, "%d contents removed\n", n)
	}
	return err
}
