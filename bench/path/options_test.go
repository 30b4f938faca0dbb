package path_test

import (
	"errors"
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRefusedSettings guards against a program that starts with a setting
// that is unknown, missing, contradictory or out of range, and against
// messages that do not name it.
func TestRefusedSettings(t *testing.T) {
	agent := []string{
		"--id=a", "--region=r", "--zone=z", "--listen=127.0.0.1:1", "--service=s",
		"--backend-url=http://127.0.0.1:2", "--weights-url=http://127.0.0.1:3", "--membership-url=http://127.0.0.1:4",
	}
	entry := []string{
		"serve", "--id=e", "--region=r", "--zone=z", "--listen=127.0.0.1:1", "--peer-listen=127.0.0.1:2",
		"--log-url=http://127.0.0.1:3", "--membership-url=http://127.0.0.1:4",
	}
	for _, test := range []struct {
		name, program, want string
		args                []string
	}{
		{"unknown flag", "laburnum-agent", "no-such-flag", append(agent, "--no-such-flag")},
		{"missing flag", "laburnum-agent", "--service", []string{"--id=a"}},
		{"bad address", "laburnum-agent", `--listen has value "example.org:80"; allowed: IP:PORT`, append(agent, "--listen=example.org:80")},
		{"bad number", "laburnum-agent", "memory-ceiling-bytes", append(agent, "--memory-ceiling-bytes=many")},
		{"number out of range", "laburnum-agent", `--memory-ceiling-bytes has value "-1"`, append(agent, "--memory-ceiling-bytes=-1")},
		{"unprotected address", "laburnum-agent", "--secret", append(agent, "--listen=10.0.0.1:1")},
		{"contradiction", "laburnum-agent", "--tls-cert", append(agent, "--tls-cert=a.pem")},
		{"unused argument", "laburnum-agent", `argument`, append(agent, "extra")},
		{"bad choice", "laburnum-entry", `--trace-exporter has value "file"; allowed: off, stdout, otlp`, append(entry, "--trace-exporter=file")},
		{"bad URL", "laburnum-entry", `--log-url has value "ftp://x"; allowed: an http or https URL`, append(entry, "--log-url=ftp://x")},
		{"bad time", "laburnum-entry", `--drain-timeout has value "-1s"`, append(entry, "--drain-timeout=-1s")},
		{"unknown command", "laburnum-entry", "nosuch", []string{"nosuch"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			output, err := exec.Command("../../bin/"+test.program, test.args...).CombinedOutput()
			var exit *exec.ExitError
			c.Assert(errors.As(err, &exit), qt.IsTrue, qt.Commentf("%s", output))
			c.Check(exit.ExitCode(), qt.Equals, 2)
			c.Check(string(output), qt.Contains, test.want)
			c.Check(strings.Count(string(output), "\n"), qt.Equals, 1)
		})
	}
}
