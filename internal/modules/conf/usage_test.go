package conf_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/conf"
)

// values are a deployment's values that have an effect on the usage reports.
var values = map[string]string{
	"contract_params.report_window_s":   "5",
	"contract_params.usage_delay_s":     "10",
	"contract_params.usage_tolerance":   "0.05",
	"contract_params.lease_duration_ms": "3000",
}

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	value   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render renders deploy/settings.yaml.tmpl as the platform does, with plausible texts
// for all other values.
func render(t *testing.T, with map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../../deploy/settings.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	text := section.ReplaceAllStringFunc(string(template), func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, ok := with[m[2]]; ok != (m[1] == "#") {
			return ""
		}
		return strings.ReplaceAll(m[3], "{{.}}", with[m[2]])
	})
	return value.ReplaceAllStringFunc(text, func(s string) string {
		name := value.FindStringSubmatch(s)[1]
		switch {
		case strings.HasPrefix(name, "contract_params.") && values[name] != "":
			return with[name]
		case strings.Contains(name, "address") && name != "ip_address" || name == "seed_nodes":
			return "10.0.0.1:80"
		case name == "ip_address":
			return "10.0.0.1"
		}
		return "5000"
	})
}

// TestUsageSettings guards against a deployment without usage reports whose settings
// change, and against a start with some of the settings only.
func TestUsageSettings(t *testing.T) {
	is := is.New(t)
	without := func(names ...string) map[string]string {
		with := map[string]string{}
		for name, text := range values {
			with[name] = text
		}
		for _, name := range names {
			delete(with, "contract_params."+name)
		}
		return with
	}
	s, err := conf.Read("settings", []byte(render(t, values)))
	is.NoErr(err)
	is.Equal(s.ReportWindow, 5*time.Second)
	is.Equal(s.UsageDelay, 10*time.Second)
	is.Equal(s.UsageTolerance, 0.05)
	is.Equal(s.LeaseDuration, 3*time.Second)
	for _, with := range []map[string]string{{}, without("report_window_s", "usage_delay_s", "usage_tolerance")} {
		with["contract_params.warmup_overage"] = "1.5" // leaves out instance-choice
		text := render(t, with)
		is.True(strings.HasSuffix(text, "\nfiles: 5000\n"))
		s, err := conf.Read("settings", []byte(text))
		is.NoErr(err)
		is.True(!s.ReportsUsage())
	}
	for missing, key := range map[string]string{
		"report_window_s":   "report-window",
		"usage_delay_s":     "usage-delay",
		"usage_tolerance":   "usage-tolerance",
		"lease_duration_ms": "lease-duration",
	} {
		_, err := conf.Read("settings", []byte(render(t, without(missing))))
		is.True(err != nil && strings.Contains(err.Error(), key))
	}
	for _, key := range []string{"report-window: 1ms", "usage-delay: 1ms", "usage-tolerance: 1.5", "lease-duration: 1h"} {
		name, _, _ := strings.Cut(key, ":")
		text := regexp.MustCompile(name+":.*").ReplaceAllString(render(t, values), key)
		_, err := conf.Read("settings", []byte(text))
		is.True(err != nil && strings.Contains(err.Error(), name))
	}
}
