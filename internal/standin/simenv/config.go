package simenv

import (
	"maps"
	"slices"

	"wasabislip.example/wasabislip/platform/decode"
)

// Configure changes the configuration and publishes it under a higher version.
func (e *Environment) Configure(change func(config map[string]any)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config == nil {
		e.config = initialConfig()
	}
	change(e.config)
	e.version += 3
	e.config["version"] = e.version
	e.Store.Put(decode.OperatorTable, "config", e.config)
}

// SetWorkspaces replaces the workspaces by those in rates, which holds rates by
// name. The API key of each is key-NAME. It also sets the priorities of the
// databases in priorities; other databases keep theirs.
func (e *Environment) SetWorkspaces(rates map[string]float64, priorities map[string]int) {
	e.Configure(func(config map[string]any) {
		var list []any
		for _, name := range slices.Sorted(maps.Keys(rates)) {
			list = append(list, WorkspaceConfig(name, rates[name], "key-"+name))
		}
		config["tenants"] = list
		for _, r := range config["routes"].([]any) {
			route := r.(map[string]any)
			if n, ok := priorities[route["host"].(string)]; ok {
				route["priority"] = n
			}
		}
	})
}

func initialConfig() map[string]any {
	route := func(database, kind string, maxStaleness int) map[string]any {
		return routeConfig(database, kind, "ledger", maxStaleness)
	}
	return map[string]any{
		"routes": []any{
			route("strict", "primary", 0),
			route("bounded", "bounded_staleness", int(MaxStaleness.Milliseconds())),
			route("own", "read_your_writes", 2500),
		},
		"services": []any{map[string]any{
			"name":            "ledger",
			"max_connections": 22,
		}},
		"limits": map[string]any{
			"txn_idle_ms": 3000,
		},
		"tenants": []any{
			WorkspaceConfig("one", 1000, "key-one", "spare-one"),
			WorkspaceConfig("two", 1000, "key-two"),
		},
	}
}

func routeConfig(database, kind, service string, maxStaleness int) map[string]any {
	return map[string]any{
		"name":              "r-" + database,
		"host":              database,
		"type":              kind,
		"timeout_ms":        StatementTimeout.Milliseconds(),
		"target_latency_ms": TargetLatency.Milliseconds(),
		"priority":          1,
		"service":           service,
		"max_staleness_ms":  maxStaleness,
	}
}

// WorkspaceConfig returns a workspace's part of the configuration.
func WorkspaceConfig(name string, rate float64, keys ...string) map[string]any {
	return map[string]any{
		"name":       name,
		"api_keys":   keys,
		"rate_per_s": rate,
		"burst":      rate,
	}
}
