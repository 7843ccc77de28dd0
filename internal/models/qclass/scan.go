package qclass

import "strings"

// scan splits a query into statements and each statement into lower-case words.
// Empty statements and punctuation other than "=" are left out. A quoted string
// becomes a single quote and its text, a quoted name a double quote and its text.
func scan(query string) [][]string {
	var statements [][]string
	var words []string
	for i := 0; i < len(query); {
		word, n := next(query[i:])
		i += n
		switch {
		case word == ";":
			if len(words) > 0 {
				statements = append(statements, words)
			}
			words = nil
		case word != "":
			words = append(words, word)
		}
	}
	if len(words) > 0 {
		statements = append(statements, words)
	}
	return statements
}

// next returns the word at the start of s and its length in bytes. The word is
// empty for space, comments and punctuation.
func next(s string) (string, int) {
	switch {
	case strings.HasPrefix(s, "--"):
		return "", lineEnd(s)
	case strings.HasPrefix(s, "/*"):
		return "", commentEnd(s)
	case s[0] == '\'':
		n := quoteEnd(s, '\'', false)
		return "'" + unquote(s[:n]), n
	case s[0] == '"':
		n := quoteEnd(s, '"', false)
		return "\"" + unquote(s[:n]), n
	case s[0] == '$':
		return "", dollarEnd(s)
	case s[0] == ';', s[0] == '=':
		return s[:1], 1
	case !isWordByte(s[0]):
		return "", 1
	}
	n := 1
	for n < len(s) && (isWordByte(s[n]) || s[n] == '$') {
		n++
	}
	if n == 1 && (s[0] == 'e' || s[0] == 'E') && n < len(s) && s[n] == '\'' {
		return "'", n + quoteEnd(s[n:], '\'', true)
	}
	return strings.ToLower(s[:n]), n
}

func isWordByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '_' || b == '.' || b >= 0x80
}

// unquote returns s without its first and last byte.
func unquote(s string) string {
	if len(s) < 2 {
		return ""
	}
	return s[1 : len(s)-1]
}

// lineEnd returns the length of the first line of s.
func lineEnd(s string) int {
	if i := strings.IndexByte(s, '\n'); i >= 0 {
		return i + 1
	}
	return len(s)
}

// commentEnd returns the length of a block comment. Block comments nest.
func commentEnd(s string) int {
	depth := 0
	for i := 0; i < len(s); {
		switch {
		case strings.HasPrefix(s[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(s[i:], "*/"):
			depth--
			i += 2
		default:
			i++
		}
		if depth == 0 {
			return i
		}
	}
	return len(s)
}

// quoteEnd returns the length of the quoted text at the start of s. With escapes
// a backslash escapes the next byte.
func quoteEnd(s string, quote byte, escapes bool) int {
	for i := 1; i < len(s); i++ {
		if escapes && s[i] == '\\' {
			i++
			continue
		}
		if s[i] == quote {
			return i + 1
		}
	}
	return len(s)
}

// dollarEnd returns the length of a dollar-quoted string, or of a lone $.
func dollarEnd(s string) int {
	tag := 1
	for tag < len(s) && isWordByte(s[tag]) && s[tag] != '.' {
		tag++
	}
	if tag == len(s) || s[tag] != '$' || (tag > 1 && s[1] >= '0' && s[1] <= '9') {
		return 1
	}
	mark := s[:tag+1]
	if i := strings.Index(s[len(mark):], mark); i >= 0 {
		return len(mark) + i + len(mark)
	}
	return len(s)
}

// leadingRoute returns the route named by a comment "/* wasabislip.route=x */" at
// the start of the query, or "".
func leadingRoute(query string) string {
	s := strings.TrimLeft(query, " \t\r\n")
	body, found := strings.CutPrefix(s, "/*")
	if !found {
		return ""
	}
	body, _, found = strings.Cut(body, "*/")
	if !found {
		return ""
	}
	name, value, found := strings.Cut(body, "=")
	if !found || strings.TrimSpace(name) != prefix+"route" {
		return ""
	}
	return strings.Trim(strings.TrimSpace(value), "'")
}
