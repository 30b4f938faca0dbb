package decision

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
)

// maxLineBytes limits the length of one log line.
const maxLineBytes = 1 << 20

// logLine is a parsed log line of one process. prefix is the text before the
// JSON object, for example the time and host added by a log collector.
type logLine struct {
	prefix string
	fields map[string]any
}

func (l logLine) stringField(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// stateEvents are the events that show what a process knew about a server when it
// made a decision.
var stateEvents = []string{"server_taken", "server_gone", "engine_state", "engine_down", "load_ordered", "load_done"}

// Explain reads the log lines of any number of processes and explains one
// request. It writes the last state events of the servers and the configuration
// involved in the request, then the lines of the request in order. It reports
// whether the request was found.
func Explain(in io.Reader, out io.Writer, requestID string) (found bool, err error) {
	var requestLines []logLine
	latestStates := map[string]logLine{}
	configurations := map[float64]logLine{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			continue
		}
		event := line.stringField("@message")
		switch {
		case line.stringField("request") == requestID:
			requestLines = append(requestLines, line)
		case len(requestLines) > 0:
			// Ignore state events after the first line of the request: only the
			// known state before it is reported.
		case event == "configuration_taken":
			version, _ := line.fields["version"].(float64)
			configurations[version] = line
		case slices.Contains(stateEvents, event):
			latestStates[line.stringField("server")+" "+event] = line
		}
	}
	if err := scanner.Err(); err != nil {
		return false, err
	}
	if len(requestLines) == 0 {
		return false, nil
	}
	return true, writeExplanation(out, requestLines, latestStates, configurations)
}

func parse(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{prefix: strings.TrimSpace(text[:start])}
	return line, json.Unmarshal([]byte(text[start:]), &line.fields) == nil && line.stringField("@message") != ""
}

func writeExplanation(out io.Writer, requestLines []logLine, latestStates map[string]logLine, configurations map[float64]logLine) error {
	var stateLines []string
	included := map[string]bool{}
	for _, line := range requestLines {
		if version, ok := line.fields["configuration"].(float64); ok {
			if configuration, ok := configurations[version]; ok && !included[fmt.Sprint(version)] {
				included[fmt.Sprint(version)] = true
				stateLines = append(stateLines, render(configuration))
			}
		}
		server := line.stringField("server")
		if server == "" || included[server] {
			continue
		}
		included[server] = true
		for _, event := range stateEvents {
			if state, ok := latestStates[server+" "+event]; ok {
				stateLines = append(stateLines, render(state))
			}
		}
	}
	if len(stateLines) > 0 {
		if _, err := fmt.Fprintf(out, "believed before:\n  %s\n", strings.Join(stateLines, "\n  ")); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(out, "decided:"); err != nil {
		return err
	}
	for _, line := range requestLines {
		if _, err := fmt.Fprintln(out, "  "+render(line)); err != nil {
			return err
		}
	}
	return nil
}

// render formats a line as "time prefix event name=value ...".
func render(l logLine) string {
	var keys []string
	for key := range l.fields {
		if !strings.HasPrefix(key, "@") && key != "at" && key != "request" {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	parts := []string{l.stringField("at")}
	if l.prefix != "" {
		parts = append(parts, l.prefix)
	}
	parts = append(parts, l.stringField("@message"))
	for _, key := range keys {
		parts = append(parts, fmt.Sprintf("%s=%v", key, l.fields[key]))
	}
	return strings.Join(parts, " ")
}
