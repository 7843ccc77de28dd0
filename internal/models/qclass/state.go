package qclass

import (
	"slices"
	"strings"
)

// refusedByFirstWord holds the statements that are refused by their first word:
// they leave state on a pooled connection or need a protocol mode that is not
// supported.
var refusedByFirstWord = map[string]Class{
	"copy":     refused("COPY is not supported", "use INSERT with several rows, or SELECT"),
	"listen":   refused("LISTEN needs a connection of its own", "poll a table instead"),
	"unlisten": refused("UNLISTEN needs a connection of its own", "poll a table instead"),
	"discard":  refused("DISCARD changes a pooled connection", "use DEALLOCATE ALL, or reconnect"),
	"reset":    refused("RESET changes a pooled connection", "use SET LOCAL inside a transaction"),
	"load":     refused("LOAD changes a pooled connection", "load the library in the database's settings"),
	"execute":  refused("EXECUTE needs PREPARE on a pooled connection", "use the extended protocol's Bind message"),
}

// sessionLocks holds the functions for advisory locks that outlive the
// transaction.
var sessionLocks = []string{
	"pg_advisory_lock",
	"pg_advisory_lock_shared",
	"pg_try_advisory_lock",
	"pg_try_advisory_lock_shared",
	"pg_advisory_unlock",
	"pg_advisory_unlock_shared",
	"pg_advisory_unlock_all",
}

// classifyOther refuses statements that leave state on a pooled connection.
func classifyOther(s []string) Class {
	if c, ok := refusedByFirstWord[s[0]]; ok {
		return c
	}
	switch {
	case s[0] == "declare" && hasPair(s, "with", "hold"):
		return refused("DECLARE WITH HOLD leaves a cursor on a pooled connection", "declare the cursor without HOLD inside a transaction")
	case s[0] == "create" && isTemporary(s[1:]):
		return refused("CREATE TEMP leaves a table on a pooled connection", "use a table of the database, or WITH")
	case hasPair(s, "into", "temp"), hasPair(s, "into", "temporary"):
		return refused("SELECT INTO TEMP leaves a table on a pooled connection", "use a table of the database, or WITH")
	case slices.ContainsFunc(s, isSessionLock):
		return refused("a session's advisory lock stays on a pooled connection", "use pg_advisory_xact_lock inside a transaction")
	case slices.Contains(s, "set_config") && !slices.Contains(s, "true"):
		return refused("set_config leaves state on a pooled connection", "pass true as its third argument, inside a transaction")
	}
	return Class{
		Kind: Pass,
	}
}

// isSessionLock reports whether a word is the name of one of sessionLocks.
func isSessionLock(word string) bool {
	name := strings.TrimPrefix(strings.TrimPrefix(word, "\""), "pg_catalog.")
	return slices.Contains(sessionLocks, name)
}

// isTemporary reports whether the words after CREATE make a temporary object.
func isTemporary(s []string) bool {
	for _, word := range s[:min(len(s), 4)] {
		switch word {
		case "temp", "temporary":
			return true
		case "or", "replace", "global", "local", "recursive":
			continue
		default:
			return false
		}
	}
	return false
}

// hasPair reports whether second comes right after first in s.
func hasPair(s []string, first, second string) bool {
	for i := 1; i < len(s); i++ {
		if s[i-1] == first && s[i] == second {
			return true
		}
	}
	return false
}
