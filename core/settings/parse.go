package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes is the largest size of one document. Documents of a
// deployment of the target size have about 10 KB.
const MaxDocumentBytes = 256 << 10

// Problem is one reason for refusing a document.
type Problem struct {
	// Line is the line number in the parsed text, 0 if unknown.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, such as "services[0].kind".
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Problems are all reasons for refusing a document. Problems is an error.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, problem := range p {
		texts[i] = problem.String()
	}
	return strings.Join(texts, "; ")
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Document is a parsed document. Either Template or Parameters is set.
type Document struct {
	Kind RecordKind
	// Key is the record key of the document, as Key returns it.
	Key        string
	Template   *Template
	Parameters *Parameters
	node       *yaml.Node
}

// Body returns the document in JSON, as the body of a record.
func (d *Document) Body() json.RawMessage {
	var value any = d.Template
	if d.Parameters != nil {
		value = d.Parameters
	}
	// Documents consist of strings, numbers, booleans and lists, whose
	// encoding never fails.
	data, _ := json.Marshal(value)
	return data
}

// setLines sets the line numbers of the problems in place and returns them.
func (d *Document) setLines(problems Problems) Problems {
	for i := range problems {
		problems[i].Line = lineOf(d.node, problems[i].Field)
	}
	return problems
}

// templateFile and parametersFile are the forms of documents in a file. The
// field kind tells them apart.
type templateFile struct {
	Kind     RecordKind `yaml:"kind"`
	Template `yaml:",inline"`
}

type parametersFile struct {
	Kind       RecordKind `yaml:"kind"`
	Parameters `yaml:",inline"`
}

// ParseFile parses the YAML or JSON documents of one file. Each document has
// a field kind. Several YAML documents are separated by "---".
func ParseFile(data []byte) ([]*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{{Message: fmt.Sprintf("file has %d bytes; at most %d are allowed", len(data), MaxDocumentBytes)}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(replaceTabs(data)))
	var documents []*Document
	for {
		var node yaml.Node
		if err := decoder.Decode(&node); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, syntaxProblem(err)
		}
		doc, problems := parseFileNode(documentRoot(&node))
		if len(problems) > 0 {
			return nil, problems
		}
		documents = append(documents, doc)
	}
	if len(documents) == 0 {
		return nil, Problems{{Message: "file holds no document"}}
	}
	return documents, nil
}

func parseFileNode(node *yaml.Node) (*Document, Problems) {
	kind := RecordKind("")
	if value := mappingValue(node, "kind"); value != nil {
		kind = RecordKind(value.Value)
	}
	switch kind {
	case RecordTemplate:
		var file templateFile
		if problems := decodeNode(node, &file); len(problems) > 0 {
			return nil, problems
		}
		return newDocument(node, &file.Template, nil)
	case RecordParameters:
		var file parametersFile
		if problems := decodeNode(node, &file); len(problems) > 0 {
			return nil, problems
		}
		return newDocument(node, nil, &file.Parameters)
	}
	return nil, Problems{{Line: node.Line, Field: "kind", Message: fmt.Sprintf("value %q is not one of template, parameters", kind)}}
}

// parseBody parses the body of a record of the given kind.
func parseBody(kind RecordKind, body []byte) (*Document, Problems) {
	if len(body) > MaxDocumentBytes {
		return nil, Problems{{Message: fmt.Sprintf("body has %d bytes; at most %d are allowed", len(body), MaxDocumentBytes)}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(replaceTabs(body), &root); err != nil {
		return nil, syntaxProblem(err)
	}
	node := documentRoot(&root)
	if kind == RecordTemplate {
		var doc Template
		if problems := decodeNode(node, &doc); len(problems) > 0 {
			return nil, problems
		}
		return newDocument(node, &doc, nil)
	}
	var doc Parameters
	if problems := decodeNode(node, &doc); len(problems) > 0 {
		return nil, problems
	}
	return newDocument(node, nil, &doc)
}

// newDocument returns a decoded document and the problems of its fields.
// Either t or p is nil.
func newDocument(node *yaml.Node, t *Template, p *Parameters) (*Document, Problems) {
	doc := &Document{Template: t, Parameters: p, node: node}
	var problems Problems
	if t != nil {
		doc.Kind, doc.Key = RecordTemplate, Key(RecordTemplate, t.Name)
		problems = checkTemplate(t)
	} else {
		doc.Kind, doc.Key = RecordParameters, Key(RecordParameters, p.Workspace)
		problems = checkParameters(p)
	}
	return doc, doc.setLines(problems)
}

// replaceTabs replaces the tabs of JSON by spaces, because the YAML parser
// refuses tabs. In valid JSON a tab occurs only between tokens.
func replaceTabs(data []byte) []byte {
	if !bytes.ContainsRune(data, '\t') || !json.Valid(data) {
		return data
	}
	return bytes.ReplaceAll(data, []byte{'\t'}, []byte{' '})
}

// syntaxProblem converts an error of the YAML library, whose text may start
// with a line number.
func syntaxProblem(err error) Problems {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	problem := Problem{Message: text}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if number, message, found := strings.Cut(rest, ": "); found {
			problem.Line, _ = strconv.Atoi(number)
			problem.Message = message
		}
	}
	return Problems{problem}
}

// documentRoot returns the root node of a YAML document.
func documentRoot(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		return node.Content[0]
	}
	return node
}

// mappingValue returns the value of a key of a mapping, or nil.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

// lineOf returns the line of the field at path, or of the nearest enclosing
// field if that field is absent.
func lineOf(node *yaml.Node, path string) int {
	for _, segment := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		var next *yaml.Node
		if index, err := strconv.Atoi(segment); err == nil && node.Kind == yaml.SequenceNode && index < len(node.Content) {
			next = node.Content[index]
		} else {
			next = mappingValue(node, segment)
		}
		if next == nil {
			break
		}
		node = next
	}
	return node.Line
}

// decodeNode checks the fields and types of a node and decodes it. The check
// is separate, because the errors of the YAML library lack the field.
func decodeNode(node *yaml.Node, target any) Problems {
	if problems := checkNode(node, reflect.TypeOf(target).Elem(), ""); len(problems) > 0 {
		return problems
	}
	if err := node.Decode(target); err != nil {
		return syntaxProblem(err)
	}
	return nil
}

// checkNode compares a node with the Go type that it will be decoded into.
func checkNode(node *yaml.Node, t reflect.Type, path string) Problems {
	mismatch := func(want string) Problems {
		return Problems{{Line: node.Line, Field: path, Message: "value is not " + want}}
	}
	switch t.Kind() {
	case reflect.Pointer:
		if node.Tag == "!!null" {
			return nil
		}
		return checkNode(node, t.Elem(), path)
	case reflect.Struct:
		if node.Kind != yaml.MappingNode {
			return mismatch("a mapping")
		}
		return checkMapping(node, t, path)
	case reflect.Slice:
		if node.Tag == "!!null" {
			return nil
		}
		if node.Kind != yaml.SequenceNode {
			return mismatch("a list")
		}
		var problems Problems
		for i, item := range node.Content {
			problems = append(problems, checkNode(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return problems
	}
	return checkScalar(node, t, mismatch)
}

func checkScalar(node *yaml.Node, t reflect.Type, mismatch func(string) Problems) Problems {
	if node.Kind != yaml.ScalarNode {
		return mismatch("a single value")
	}
	switch t.Kind() {
	case reflect.Bool:
		if node.Tag != "!!bool" {
			return mismatch("true or false")
		}
	case reflect.Int:
		if node.Tag != "!!int" {
			return mismatch("a whole number")
		}
		if _, err := strconv.Atoi(node.Value); err != nil {
			return mismatch("a whole number in decimal digits")
		}
	default:
		// YAML reads an unquoted version such as 1.10 as a number.
		if !slices.Contains([]string{"!!str", "!!int", "!!float"}, node.Tag) {
			return mismatch("text; quote it if it is meant as text")
		}
	}
	return nil
}

func checkMapping(node *yaml.Node, t reflect.Type, path string) Problems {
	fields := yamlFieldTypes(t)
	seen := map[string]bool{}
	var problems Problems
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		fieldPath := strings.TrimPrefix(path+"."+key.Value, ".")
		field, known := fields[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode:
			problems = append(problems, Problem{Line: key.Line, Field: path, Message: "field name is not text"})
		case !known:
			problems = append(problems, Problem{Line: key.Line, Field: fieldPath, Message: "unknown field"})
		case seen[key.Value]:
			problems = append(problems, Problem{Line: key.Line, Field: fieldPath, Message: "field is given twice"})
		default:
			problems = append(problems, checkNode(value, field, fieldPath)...)
		}
		seen[key.Value] = true
	}
	return problems
}

// yamlFieldTypes returns the types of a struct's fields by their YAML names.
func yamlFieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, option, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if option == "inline" {
			for inner, innerType := range yamlFieldTypes(f.Type) {
				fields[inner] = innerType
			}
			continue
		}
		fields[name] = f.Type
	}
	return fields
}

// FormatFile returns the document in YAML, as ParseFile reads it.
func (d *Document) FormatFile() []byte {
	var file any = templateFile{Kind: RecordTemplate}
	if d.Template != nil {
		file = templateFile{Kind: RecordTemplate, Template: *d.Template}
	} else if d.Parameters != nil {
		file = parametersFile{Kind: RecordParameters, Parameters: *d.Parameters}
	}
	// Documents consist of strings, numbers, booleans and lists, whose
	// encoding never fails.
	data, _ := yaml.Marshal(file)
	return data
}
