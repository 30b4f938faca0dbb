package decision

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Explain must find a request by its id in the mixed log lines of many processes
// and show the state known before it, without later events and other requests.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	lines := strings.Join([]string{
		`10.1 edge-1 {"@message":"configuration_taken","at":"10:00:00.000","version":7}`,
		`not a log line`,
		`10.2 edge-1 {"@message":"server_taken","at":"10:00:00.100","server":"i-1","draining":false}`,
		`10.2 edge-1 {"@message":"server_taken","at":"10:00:00.100","server":"i-2","draining":false}`,
		`10.3 edge-1 {"@message":"attempt_failed","at":"10:00:01.000","request":"r1","server":"i-1","result":"broken"}`,
		`10.3 edge-2 {"@message":"request_ended","at":"10:00:01.000","request":"other","reason":"all_full"}`,
		`10.4 edge-1 {"@message":"server_taken","at":"10:00:02.000","server":"i-1","draining":true}`,
		`10.5 edge-1 {"@message":"request_ended","at":"10:00:02.100","request":"r1","reason":"answer_broken","configuration":7}`,
	}, "\n")
	var out bytes.Buffer
	found, err := Explain(strings.NewReader(lines), &out, "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(out.String(), qt.Equals, `believed before:
  10:00:00.100 10.2 edge-1 server_taken draining=false server=i-1
  10:00:00.000 10.1 edge-1 configuration_taken version=7
decided:
  10:00:01.000 10.3 edge-1 attempt_failed result=broken server=i-1
  10:00:02.100 10.5 edge-1 request_ended configuration=7 reason=answer_broken
`)
	found, err = Explain(strings.NewReader(lines), &out, "nobody")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsFalse)
}
