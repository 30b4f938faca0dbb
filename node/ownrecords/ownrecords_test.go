package ownrecords

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/storeera"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/keyedlog"
)

// fakeTopic is a topic in memory.
type fakeTopic struct {
	values map[string]string
	end    int64
	reads  int
	// onRead is called after each read; nil for none.
	onRead func()
}

var errMoved = errors.New("moved")

func (f *fakeTopic) put(key, value string) {
	f.values[key] = value
	f.end++
}

func (f *fakeTopic) Newest(context.Context) (records []keyedlog.Record, end storeera.Position, err error) {
	for key, value := range f.values {
		records = append(records, keyedlog.Record{Key: key, Value: []byte(value)})
	}
	f.reads++
	end = storeera.Position{Offset: f.end}
	if f.onRead != nil {
		f.onRead()
	}
	return records, end, nil
}

func (f *fakeTopic) Read(context.Context, storeera.Position, time.Duration) ([]keyedlog.Record, storeera.Position, error) {
	return nil, storeera.Position{}, errors.New("not used")
}

func (f *fakeTopic) writeAt(_ context.Context, at storeera.Position, records []keyedlog.Record) error {
	if at.Offset != f.end {
		return errMoved
	}
	for _, r := range records {
		f.put(r.Key, string(r.Value))
	}
	return nil
}

func newKeeper(f *fakeTopic, wanted ...Wanted) *Keeper {
	return New(Config{
		Log: decision.New(decision.Config{Output: io.Discard}), Source: f, WriteAt: f.writeAt,
		Wanted: func() []Wanted { return wanted }, OnWritten: func(string) {},
	})
}

func want(key, value string) Wanted {
	return Wanted{Key: key, Value: func(context.Context) ([]byte, error) { return []byte(value), nil }}
}

// What the store lacks, or holds in an older form, must be written; what it holds in a
// newer one must stay.
func TestWritesOnlyWhatIsMissingOrOlder(t *testing.T) {
	c := qt.New(t)
	f := &fakeTopic{values: map[string]string{"held": "x", "newer": "9", "older": "1"}}
	version := func(key string) Wanted {
		w := want(key, "5")
		w.Outdated = func(stored []byte) bool { return string(stored) < "5" }
		return w
	}
	k := newKeeper(f, want("held", "y"), want("lost", "z"), version("newer"), version("older"))
	c.Assert(k.check(t.Context()), qt.IsTrue)
	c.Assert(f.values, qt.DeepEquals, map[string]string{"held": "x", "lost": "z", "newer": "9", "older": "5"})
	c.Assert(f.end, qt.Equals, int64(2))
	c.Assert(k.check(t.Context()), qt.IsTrue)
	c.Assert(f.end, qt.Equals, int64(2), qt.Commentf("written again although nothing is missing"))
}

// A record that another process writes between the read and the append must not be
// replaced by an older one.
func TestConcurrentWriteIsNotReplaced(t *testing.T) {
	c := qt.New(t)
	f := &fakeTopic{values: map[string]string{}}
	f.onRead = func() {
		f.put("manifest", "9")
		f.onRead = nil
	}
	w := want("manifest", "5")
	w.Outdated = func(stored []byte) bool { return string(stored) < "5" }
	k := newKeeper(f, w)
	c.Assert(k.check(t.Context()), qt.IsFalse)
	c.Assert(k.check(t.Context()), qt.IsTrue)
	c.Assert(f.values["manifest"], qt.Equals, "9")
}

// A record whose value is not known yet must not keep the others from being written,
// and more than one append holds must come with the next check.
func TestIncompleteChecks(t *testing.T) {
	c := qt.New(t)
	f := &fakeTopic{values: map[string]string{}}
	unknown := Wanted{Key: "unknown", Value: func(context.Context) ([]byte, error) { return nil, errors.New("nobody answers") }}
	k := newKeeper(f, unknown, want("a", "1"))
	c.Assert(k.check(t.Context()), qt.IsFalse)
	c.Assert(f.values, qt.DeepEquals, map[string]string{"a": "1"})
	var large []Wanted
	for i := range 10 {
		large = append(large, want(fmt.Sprint("large-", i), strings.Repeat("x", maxWriteBytes/4)))
	}
	k = newKeeper(f, large...)
	for range 3 {
		c.Assert(k.check(t.Context()), qt.IsFalse)
	}
	c.Assert(k.check(t.Context()), qt.IsTrue)
	c.Assert(f.values, qt.HasLen, 11)
}
