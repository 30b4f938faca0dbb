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
var stateEvents = []string{
	"server_taken", "server_gone", "engine_state", "engine_down", "load_ordered", "load_done",
	"server_limit_named", "server_limit_changed", "server_limit_withdrawn", "server_leaving", "server_quiet",
}

// restoreEvents are the events that show what a restore of the store from a copy did to
// what the processes knew.
var restoreEvents = []string{
	"store_era_changed", "store_era_went_back", "operator_read_anew", "configuration_older", "registry_copy_older", "own_records_checked",
}

// maxSuspects bounds the log lines on engine crashes that are kept.
const maxSuspects = 256

// Explain reads the log lines of any number of processes and explains one
// request. It writes the last state events of the servers, the configuration and
// the quarantine involved in the request, with the crashes that led to the
// quarantine, and the last restore of the store, then the lines of the request in order. It reports whether the
// request was found.
func Explain(in io.Reader, out io.Writer, requestID string) (found bool, err error) {
	var requestLines []logLine
	known := knowledge{states: map[string]logLine{}, restores: map[string]logLine{}, configurations: map[float64]logLine{}, verdicts: map[string]logLine{}}
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
			known.recordLate(event, line)
		case len(requestLines) > 0:
			// Ignore state events after the first line of the request: only the
			// known state before it is reported.
			known.recordLate(event, line)
		default:
			known.record(event, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return false, err
	}
	if len(requestLines) == 0 {
		return false, nil
	}
	return true, writeExplanation(out, requestLines, known)
}

// knowledge holds the log lines on what the processes knew.
type knowledge struct {
	// states are the last state events by server and event.
	states map[string]logLine
	// restores are the last lines of restoreEvents of all processes, by event.
	restores       map[string]logLine
	configurations map[float64]logLine
	// verdicts are the last quarantines by id; suspects are the requests under
	// which engines crashed.
	verdicts map[string]logLine
	suspects []logLine
}

func (k *knowledge) record(event string, line logLine) {
	switch {
	case event == "configuration_taken":
		version, _ := line.fields["version"].(float64)
		k.configurations[version] = line
	case slices.Contains(restoreEvents, event):
		k.restores[event] = line
	case slices.Contains(stateEvents, event):
		k.states[line.stringField("server")+" "+event] = line
	default:
		k.recordLate(event, line)
	}
}

// recordLate records what may follow the first line of the request: a quarantine
// can end a request that is at an engine already.
func (k *knowledge) recordLate(event string, line logLine) {
	switch event {
	case "prompt_quarantined":
		k.verdicts[line.stringField("quarantine")] = line
	case "crash_suspect":
		if len(k.suspects) < maxSuspects {
			k.suspects = append(k.suspects, line)
		}
	}
}

// quarantine returns the lines on a quarantine: the crashes and the last verdict.
func (k *knowledge) quarantine(id string) (out []string) {
	verdict, found := k.verdicts[id]
	if !found {
		return nil
	}
	parts := strings.Split(id, ",")
	for _, s := range k.suspects {
		all := strings.Split(s.stringField("new_parts")+","+s.stringField("known_parts"), ",")
		if !slices.ContainsFunc(parts, func(p string) bool { return !slices.Contains(all, p) }) {
			out = append(out, render(s)+" request="+s.stringField("request"))
		}
	}
	return append(out, render(verdict))
}

func parse(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{prefix: strings.TrimSpace(text[:start])}
	return line, json.Unmarshal([]byte(text[start:]), &line.fields) == nil && line.stringField("@message") != ""
}

func writeExplanation(out io.Writer, requestLines []logLine, known knowledge) error {
	var stateLines []string
	included := map[string]bool{}
	for _, line := range requestLines {
		if version, ok := line.fields["configuration"].(float64); ok {
			if configuration, ok := known.configurations[version]; ok && !included[fmt.Sprint(version)] {
				included[fmt.Sprint(version)] = true
				stateLines = append(stateLines, render(configuration))
			}
		}
		if id := line.stringField("quarantine"); id != "" && !included["quarantine "+id] {
			included["quarantine "+id] = true
			stateLines = append(stateLines, known.quarantine(id)...)
		}
		servers := strings.Split(line.stringField("limited_servers"), ",")
		for _, server := range append(servers, line.stringField("server")) {
			if server == "" || included[server] {
				continue
			}
			included[server] = true
			for _, event := range stateEvents {
				if state, ok := known.states[server+" "+event]; ok {
					stateLines = append(stateLines, render(state))
				}
			}
		}
	}
	for _, event := range restoreEvents {
		if line, ok := known.restores[event]; ok {
			stateLines = append(stateLines, render(line))
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
