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

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// logLine is a line of one process; Prefix is what stands before its JSON, for
// example a collector's time and host.
type logLine struct {
	prefix string
	fields map[string]any
}

func (l logLine) text(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// belief events explain a decision by what the process believed.
var beliefs = []string{"server_taken", "server_gone", "engine_state", "engine_down", "load_ordered", "load_done"}

// Explain reads log lines of any number of processes and writes the story of one
// request: its own lines in order, and before them what was last said of the
// servers that it met and of the configuration that decided it. It reports
// whether the request was found.
func Explain(in io.Reader, out io.Writer, requestID string) (found bool, err error) {
	var story []logLine
	latest := map[string]logLine{}
	configurations := map[float64]logLine{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			continue
		}
		event := line.text("@message")
		switch {
		case line.text("request") == requestID:
			story = append(story, line)
		case len(story) > 0:
			// Beliefs that came later decided nothing of this request.
		case event == "configuration_taken":
			version, _ := line.fields["version"].(float64)
			configurations[version] = line
		case slices.Contains(beliefs, event):
			latest[line.text("server")+" "+event] = line
		}
	}
	if err := scanner.Err(); err != nil {
		return false, err
	}
	if len(story) == 0 {
		return false, nil
	}
	return true, tell(out, story, latest, configurations)
}

func parse(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{prefix: strings.TrimSpace(text[:start])}
	return line, json.Unmarshal([]byte(text[start:]), &line.fields) == nil && line.text("@message") != ""
}

func tell(out io.Writer, story []logLine, latest map[string]logLine, configurations map[float64]logLine) error {
	var context []string
	seen := map[string]bool{}
	for _, line := range story {
		if version, ok := line.fields["configuration"].(float64); ok {
			if taken, ok := configurations[version]; ok && !seen[fmt.Sprint(version)] {
				seen[fmt.Sprint(version)] = true
				context = append(context, render(taken))
			}
		}
		server := line.text("server")
		if server == "" || seen[server] {
			continue
		}
		seen[server] = true
		for _, event := range beliefs {
			if belief, ok := latest[server+" "+event]; ok {
				context = append(context, render(belief))
			}
		}
	}
	if len(context) > 0 {
		if _, err := fmt.Fprintf(out, "believed before:\n  %s\n", strings.Join(context, "\n  ")); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(out, "decided:"); err != nil {
		return err
	}
	for _, line := range story {
		if _, err := fmt.Fprintln(out, "  "+render(line)); err != nil {
			return err
		}
	}
	return nil
}

// render writes a line as "time prefix event name=value ...".
func render(l logLine) string {
	var names []string
	for name := range l.fields {
		if !strings.HasPrefix(name, "@") && name != "at" && name != "request" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := []string{l.text("at")}
	if l.prefix != "" {
		parts = append(parts, l.prefix)
	}
	parts = append(parts, l.text("@message"))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
	}
	return strings.Join(parts, " ")
}
