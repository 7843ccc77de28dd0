package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/conf"
)

// TestTemplate guards against a template that enables a feature where the deployment
// does not have what it needs.
func TestTemplate(t *testing.T) {
	const limit = "contract_params.warmup_overage"
	template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	run := func(what string, values map[string]string, choice string) {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			s, err := conf.Read("settings", []byte(render(string(template), values)))
			is.NoErr(err)
			is.Equal(s.InstanceChoice, choice)
		})
	}
	run("a limit for instances that have just started", map[string]string{limit: "0.2"}, "")
	run("no limit for instances that have just started", nil, conf.Even)
}

var (
	inverted = regexp.MustCompile(`(?s)\{\{\^([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)
	section  = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)
	value    = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// render renders a template as the platform does. A value that is not listed in values
// is absent in sections, and a valid setting elsewhere.
func render(template string, values map[string]string) string {
	text := inverted.ReplaceAllStringFunc(template, func(m string) string {
		parts := inverted.FindStringSubmatch(m)
		if _, ok := values[parts[1]]; ok {
			return ""
		}
		return parts[2]
	})
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		parts := section.FindStringSubmatch(m)
		if _, ok := values[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return value.ReplaceAllStringFunc(text, func(m string) string {
		name := strings.Trim(m, "{}")
		switch {
		case values[name] != "":
			return values[name]
		case name == "ip_address":
			return "127.0.0.1"
		case strings.Contains(name, "address") || name == "seed_nodes":
			return "127.0.0.1:7000"
		}
		return "300"
	})
}
