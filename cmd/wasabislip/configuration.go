package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/models/draft"
	"wasabislip.example/wasabislip/internal/models/impact"
	"wasabislip.example/wasabislip/internal/models/verify"
	"wasabislip.example/wasabislip/platform/decode"
)

// configurationReport is what check prints of a configuration in the platform's form.
type configurationReport struct {
	File     string                 `json:"file"`
	Good     bool                   `json:"good"`
	Findings []configurationFinding `json:"findings"`
	// Changes are the differences from the file Against, the worst for callers first.
	Against string                `json:"against,omitempty"`
	Changes []configurationChange `json:"changes,omitempty"`
}

// configurationFinding is one mistake.
type configurationFinding struct {
	Line     int    `json:"line"`
	Path     string `json:"path"`
	Severity string `json:"severity"`
	Message  string `json:"message"`
	Remedy   string `json:"remedy"`
}

// configurationChange is one difference.
type configurationChange struct {
	Effect string `json:"effect"`
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// checkConfiguration checks a configuration in the platform's form and, if another file is
// named, prints what differs from it. A mistake ends it with exitBadFile.
func checkConfiguration(cmd *cli.Command, name string) error {
	output := cmd.String("output")
	if output != "table" && output != "json" {
		return fmt.Errorf("output format %q is unknown; use table or json", output)
	}
	d, err := readDraft(name)
	if err != nil {
		return err
	}
	r := &configurationReport{
		File:     name,
		Good:     true,
		Findings: []configurationFinding{},
		Against:  cmd.String("against"),
	}
	mistakes := r.addFindings(d, verify.Check(d, cmd.Int("hosts")))
	if r.Against != "" {
		before, err := readDraft(r.Against)
		if err != nil {
			return err
		}
		r.addChanges(impact.Between(before, d))
	}
	if output == "json" {
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r)
	} else {
		err = r.print(cmd.Root().Writer, d)
	}
	if err == nil && mistakes > 0 {
		return cli.Exit(fmt.Sprintf("%s: %d mistakes", name, mistakes), exitBadFile)
	}
	return err
}

// readDraft reads and decodes a configuration in the platform's form.
func readDraft(name string) (*draft.Draft, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, cli.Exit(err.Error(), exitBadFile)
	}
	d, err := decode.Decoder{}.Draft(body)
	if err != nil {
		return nil, cli.Exit(fmt.Sprintf("%s: %v; correct the file", name, err), exitBadFile)
	}
	return d, nil
}

// addFindings adds the findings and returns how many of them are no warnings.
func (r *configurationReport) addFindings(d *draft.Draft, list []verify.Finding) int {
	mistakes := 0
	for _, f := range list {
		severity := "warning"
		if !f.Warning {
			severity = "error"
			mistakes++
		}
		path, line := d.Locate(f.List, f.Index, f.Field)
		r.Findings = append(r.Findings, configurationFinding{
			Line:     line,
			Path:     path,
			Severity: severity,
			Message:  f.Message,
			Remedy:   f.Remedy,
		})
	}
	r.Good = mistakes == 0
	return mistakes
}

func (r *configurationReport) addChanges(list []impact.Change) {
	for _, c := range list {
		r.Changes = append(r.Changes, configurationChange{
			Effect: c.Effect,
			Path:   c.Path,
			Before: c.Before,
			After:  c.After,
		})
	}
}

// print prints the report as text.
func (r *configurationReport) print(w io.Writer, d *draft.Draft) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(w, "%s:%d: %s: %s: %s; %s\n", r.File, f.Line, f.Severity, f.Path, f.Message, f.Remedy); err != nil {
			return err
		}
	}
	if r.Against != "" {
		if _, err := fmt.Fprintf(w, "%d changes against %s\n", len(r.Changes), r.Against); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(w, "%s %s: %s -> %s\n", c.Effect, c.Path, orNone(c.Before), orNone(c.After)); err != nil {
			return err
		}
	}
	if !r.Good {
		return nil
	}
	_, err := fmt.Fprintf(w, "good: %d databases, %d services, %d workspaces\n", len(d.Databases), len(d.Services), len(d.Workspaces))
	return err
}

// orNone makes a value that does not exist visible.
func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
