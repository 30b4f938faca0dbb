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

// For a request that a quarantine ended, Explain must show the crashes behind the
// quarantine, also those that other entries saw and that came after the request.
func TestExplainQuarantine(t *testing.T) {
	c := qt.New(t)
	lines := strings.Join([]string{
		`edge-1 {"@message":"crash_suspect","at":"10:00:00.000","request":"r1","server":"i-1","new_parts":"a,d","known_parts":"c"}`,
		`edge-1 {"@message":"crash_suspect","at":"10:00:00.100","request":"r2","server":"i-2","new_parts":"e","known_parts":"c"}`,
		`edge-2 {"@message":"attempt_failed","at":"10:00:00.200","request":"r3","server":"i-3","result":"quarantined"}`,
		`edge-2 {"@message":"crash_suspect","at":"10:00:00.300","request":"r4","server":"i-4","new_parts":"d","known_parts":"c"}`,
		`edge-2 {"@message":"prompt_quarantined","at":"10:00:00.300","quarantine":"d","crashes":2}`,
		`edge-2 {"@message":"request_ended","at":"10:00:00.310","request":"r3","reason":"prompt_quarantined","quarantine":"d"}`,
	}, "\n")
	var out bytes.Buffer
	found, err := Explain(strings.NewReader(lines), &out, "r3")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(out.String(), qt.Equals, `believed before:
  10:00:00.000 edge-1 crash_suspect known_parts=c new_parts=a,d server=i-1 request=r1
  10:00:00.300 edge-2 crash_suspect known_parts=c new_parts=d server=i-4 request=r4
  10:00:00.300 edge-2 prompt_quarantined crashes=2 quarantine=d
decided:
  10:00:00.200 edge-2 attempt_failed result=quarantined server=i-3
  10:00:00.310 edge-2 request_ended quarantine=d reason=prompt_quarantined
`)
}

// For a request that was refused because servers limit their rate, Explain must show
// what the servers said, also those that the request was not sent to.
func TestExplainLimitedServers(t *testing.T) {
	c := qt.New(t)
	lines := strings.Join([]string{
		`edge-1 {"@message":"server_limit_named","at":"10:00:00.000","server":"i-1","limit":1,"coordinator":"edge-2","share":1}`,
		`edge-1 {"@message":"server_quiet","at":"10:00:00.100","server":"i-2","quiet_ms":5000}`,
		`edge-1 {"@message":"server_limit_named","at":"10:00:00.200","server":"i-3","limit":7}`,
		`edge-1 {"@message":"request_moved","at":"10:00:00.300","request":"r1","server":"i-1","reason":"no_permit"}`,
		`edge-1 {"@message":"request_ended","at":"10:00:00.400","request":"r1","reason":"servers_limited","limited_servers":"i-1,i-2"}`,
	}, "\n")
	var out bytes.Buffer
	found, err := Explain(strings.NewReader(lines), &out, "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(out.String(), qt.Equals, `believed before:
  10:00:00.000 edge-1 server_limit_named coordinator=edge-2 limit=1 server=i-1 share=1
  10:00:00.100 edge-1 server_quiet quiet_ms=5000 server=i-2
decided:
  10:00:00.300 edge-1 request_moved reason=no_permit server=i-1
  10:00:00.400 edge-1 request_ended limited_servers=i-1,i-2 reason=servers_limited
`)
}

// For a request after a restore of the store, Explain must show the era of the
// configuration that decided it and what the restore changed.
func TestExplainAfterARestore(t *testing.T) {
	c := qt.New(t)
	lines := strings.Join([]string{
		`edge-1 {"@message":"configuration_taken","at":"10:00:00.000","version":7,"store_era":1}`,
		`edge-2 {"@message":"store_era_changed","at":"10:00:01.000","era":"2","before":"1"}`,
		`edge-2 {"@message":"configuration_older","at":"10:00:01.100","version":6,"active":7,"store_era":2}`,
		`edge-1 {"@message":"request_ended","at":"10:00:02.000","request":"r1","reason":"no_route","configuration":7}`,
		`edge-2 {"@message":"store_era_changed","at":"10:00:03.000","era":"3","before":"2"}`,
	}, "\n")
	var out bytes.Buffer
	found, err := Explain(strings.NewReader(lines), &out, "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(out.String(), qt.Equals, `believed before:
  10:00:00.000 edge-1 configuration_taken store_era=1 version=7
  10:00:01.000 edge-2 store_era_changed before=1 era=2
  10:00:01.100 edge-2 configuration_older active=7 store_era=2 version=6
decided:
  10:00:02.000 edge-1 request_ended configuration=7 reason=no_route
`)
}
