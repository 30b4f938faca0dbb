package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
)

// maxReasonBytes bounds the reason of a verdict, which states remember.
const maxReasonBytes = 400

// RecordKind is the kind of a settings record.
type RecordKind string

// Kinds of settings records.
const (
	RecordTemplate   RecordKind = "template"
	RecordParameters RecordKind = "parameters"
	RecordSnapshot   RecordKind = "snapshot"
)

// Record is the payload of one entry of the settings log.
type Record struct {
	// ID identifies the record across repeated appends.
	ID   string     `json:"id"`
	Kind RecordKind `json:"kind"`
	// Key is "template/NAME" or "parameters/WORKSPACE".
	Key string `json:"key"`
	// Base is the offset of the revision that this record replaces, 0 if none.
	Base int64           `json:"base"`
	Body json.RawMessage `json:"body"`
}

// Verdict is the result of folding one record.
type Verdict struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Accepted bool   `json:"accepted"`
	// Reason says why the record was refused.
	Reason string `json:"reason,omitempty"`
	// Winner is the record that a refused record lost against.
	Winner string `json:"winner,omitempty"`
	// RepeatOf is the offset of the first record with the same id, whose
	// verdict this is.
	RepeatOf int64 `json:"repeat_of,omitempty"`
	// Problems are the reasons in the document, if they are there.
	Problems Problems `json:"-"`
}

// Key returns the record key of a document.
func Key(kind RecordKind, name string) string {
	return string(kind) + "/" + name
}

// SplitKey returns the kind and the name of a record key.
func SplitKey(key string) (kind RecordKind, name string) {
	first, rest, _ := strings.Cut(key, "/")
	return RecordKind(first), rest
}

// ParseRecord reads the payload of a log record. Unknown fields are refused.
func ParseRecord(data []byte) (Record, error) {
	var rec Record
	if err := decodeStrict(data, &rec); err != nil {
		return Record{}, fmt.Errorf("malformed record: %w", err)
	}
	if !recordIDPattern.MatchString(rec.ID) {
		return Record{}, errors.New("malformed record: id is not 1 to 128 printable characters without spaces")
	}
	return rec, nil
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// Apply folds the record at offset and returns the state after it. It is a
// pure function of the state, the offset and the record.
func (s *State) Apply(offset int64, data []byte) (*State, Verdict) {
	rec, err := ParseRecord(data)
	if err != nil {
		return s.at(offset), Verdict{Offset: offset, Reason: shorten(err.Error())}
	}
	if rec.Kind == RecordSnapshot {
		// A snapshot changes nothing for a process that folded up to it.
		return s.at(offset), Verdict{Offset: offset, RecordID: rec.ID, Accepted: true}
	}
	if first, repeated := s.VerdictOn(rec.ID); repeated {
		first.RepeatOf, first.Offset = first.Offset, offset
		return s.at(offset), first
	}
	if current, id := s.Revision(rec.Key); id == rec.ID {
		return s.at(offset), Verdict{Offset: offset, RecordID: rec.ID, Accepted: true, RepeatOf: current}
	}
	next, v := s.applyDocument(offset, rec)
	next.remember(v)
	return next, v
}

func (s *State) applyDocument(offset int64, rec Record) (*State, Verdict) {
	v := Verdict{Offset: offset, RecordID: rec.ID}
	next := s.at(offset)
	doc, problems := s.Check(rec.Kind, rec.Key, rec.Body)
	if len(problems) > 0 {
		v.Reason, v.Problems = shorten(problems.Error()), problems
		return next, v
	}
	if current, winner := s.Revision(rec.Key); rec.Base != current {
		v.Reason = fmt.Sprintf("base is %d but the current revision of %s is %d", rec.Base, rec.Key, current)
		v.Winner = winner
		return next, v
	}
	next.set(doc, rec.ID)
	next.markChanged(s)
	v.Accepted = true
	return next, v
}

// Check parses the body of a record and checks it against the state.
func (s *State) Check(kind RecordKind, key string, body []byte) (*Document, Problems) {
	if kind != RecordTemplate && kind != RecordParameters {
		return nil, Problems{{Message: fmt.Sprintf("record kind %q is not one of template, parameters, snapshot", kind)}}
	}
	doc, problems := parseBody(kind, body)
	if len(problems) > 0 {
		return nil, problems
	}
	if key != doc.Key {
		return nil, Problems{{Message: fmt.Sprintf("key %q does not agree with the document, which is %q", key, doc.Key)}}
	}
	return doc, s.CheckDocument(doc)
}

// CheckDocument checks a parsed document against the state.
func (s *State) CheckDocument(doc *Document) Problems {
	next := s.at(s.Offset)
	next.set(doc, "")
	if doc.Template != nil {
		return doc.locate(next.crossCheckTemplate(doc.Template))
	}
	return doc.locate(next.crossCheckParameters(doc.Parameters))
}

// set puts a document into the state.
func (s *State) set(doc *Document, recordID string) {
	if t := doc.Template; t != nil {
		s.Templates = maps.Clone(s.Templates)
		s.Templates[t.Name] = Revision[Template]{Offset: s.Offset, RecordID: recordID, Document: *t}
		return
	}
	p := doc.Parameters
	s.Parameters = maps.Clone(s.Parameters)
	s.Parameters[p.Workspace] = Revision[Parameters]{Offset: s.Offset, RecordID: recordID, Document: *p}
}

func shorten(reason string) string {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes] + "..."
	}
	return strings.ToValidUTF8(reason, "?")
}
