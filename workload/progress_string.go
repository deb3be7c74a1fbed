package workload

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

// This file defines the strings in stored progress: how they are written, and how those are read that
// earlier versions of the program wrote.

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
	if !needsEscape(s) {
		b = append(append(b, '"'), s...)
		return append(b, '"')
	}
	quoted, _ := json.Marshal(s) // encoding a string never fails
	return append(b, quoted...)
}

// needsEscape reports whether a JSON string of s is more than s in quotation marks, or may be.
func needsEscape(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return true
		}
	}
	return false
}

// decodeProgress decodes stored progress.
//
// Earlier versions wrote strings as Go literals. JSON has no escapes like \x1f, \a, \v or \U000e0067,
// so progress that is no JSON is read once more with its strings as Go literals. Progress that is
// JSON means the same in either reading.
func decodeProgress(data []byte) (progressDocument, error) {
	var d progressDocument
	err := json.Unmarshal(data, &d)
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return d, err
	}
	converted, ok := convertGoStrings(string(data))
	if !ok {
		return d, err
	}
	err = json.Unmarshal(converted, &d)
	return d, err
}

// convertGoStrings replaces the Go string literals in otherwise valid JSON by JSON strings. It
// returns false if a quotation mark does not begin a Go literal.
func convertGoStrings(text string) (converted []byte, ok bool) {
	for {
		start := strings.IndexByte(text, '"')
		if start < 0 {
			return append(converted, text...), true
		}
		converted = append(converted, text[:start]...)
		text = text[start:]
		literal, err := strconv.QuotedPrefix(text)
		if err != nil {
			return nil, false
		}
		s, err := strconv.Unquote(literal)
		if err != nil {
			return nil, false
		}
		converted = appendString(converted, s)
		text = text[len(literal):]
	}
}
