package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sigs.k8s.io/yaml"
)

// This file defines the object, which is one document of one kind, and the parsing
// of documents.

// A Kind is a kind of object, as in the field "kind" of a document.
type Kind string

// The kinds of objects.
const (
	KindTemplate   Kind = "Template"
	KindParameters Kind = "Parameters"
	KindWave       Kind = "Wave"
	KindEvacuation Kind = "Evacuation"
)

// Kinds returns all kinds of objects.
func Kinds() []Kind { return []Kind{KindTemplate, KindParameters, KindWave, KindEvacuation} }

// Parameters are the settings of one customer: values that replace a template's,
// and the customer's own weight and quota.
type Parameters struct {
	Name string `json:"name"`
	// Template is the name of the template whose values are replaced; empty if the
	// document only holds the customer's weight and quota.
	Template string `json:"template,omitempty"`
	// Size, Spare, Speed and Spread replace the template's values.
	Size   *int     `json:"size,omitempty"`
	Spare  *Count   `json:"spare,omitempty"`
	Speed  *Count   `json:"speed,omitempty"`
	Spread []Domain `json:"spread,omitempty"`
	// Customer is the customer to whose requests and jobs Weight and QuotaCPUMilli
	// apply; empty for the document's own name.
	Customer string `json:"customer,omitempty"`
	// Weight is the customer's share of scarce capacity, relative to the weights
	// of other customers.
	Weight float64 `json:"weight"`
	// QuotaCPUMilli limits what the customer's jobs use at once, in thousandths of
	// a CPU; zero for no limit.
	QuotaCPUMilli int64 `json:"quotaCPUMilli"`
	// From and Until are the start, inclusive, and the end, exclusive, of the time
	// in which the values are in force; empty for no start or no end.
	From  *time.Time `json:"from,omitempty"`
	Until *time.Time `json:"until,omitempty"`
}

// ActiveAt reports whether the values are in force at now.
func (p *Parameters) ActiveAt(now time.Time) bool {
	if p.From != nil && now.Before(*p.From) {
		return false
	}
	return p.Until == nil || now.Before(*p.Until)
}

func (p *Parameters) setDefaults() {
	setDefault(&p.Customer, p.Name)
	setDefault(&p.Weight, 1)
}

func (p *Parameters) check(c *checker) {
	c.name("name", p.Name)
	if p.Template != "" {
		c.name("template", p.Template)
	}
	if p.Template == "" && (p.Size != nil || p.Spare != nil || p.Speed != nil || p.Spread != nil) {
		c.fail("template", "", "must name the template whose values are replaced")
	}
	if p.Size != nil {
		c.between("size", *p.Size, 0, maxPoolSize)
	}
	if p.Spare != nil {
		c.count("spare", *p.Spare)
	}
	if p.Speed != nil {
		c.count("speed", *p.Speed)
	}
	for i, d := range p.Spread {
		c.oneOf(fmt.Sprintf("spread[%d]", i), string(d), string(DomainRack), string(DomainZone), string(DomainRegion))
	}
	c.betweenFloat("weight", p.Weight, 0.01, 1000)
	if p.QuotaCPUMilli < 0 {
		c.fail("quotaCPUMilli", strconv.FormatInt(p.QuotaCPUMilli, 10), "must not be negative")
	}
	if p.From != nil && p.Until != nil && !p.From.Before(*p.Until) {
		c.fail("until", p.Until.Format(time.RFC3339), "must be after from (%s)", p.From.Format(time.RFC3339))
	}
}

// A WaveState is the state in which an operator wants a wave to be.
type WaveState string

// The states of a wave that an operator can ask for.
const (
	WaveRun    WaveState = "run"
	WavePause  WaveState = "pause"
	WaveCancel WaveState = "cancel"
)

// A Wave asks for every instance of a pool to be maintained once.
type Wave struct {
	Name string `json:"name"`
	// Template is the name of the pool's template.
	Template string `json:"template"`
	// State is the state that the operator asks for.
	State WaveState `json:"state"`
	// Racks asks for whole racks at a time, as far as budget and spread allow.
	Racks bool `json:"racks"`
	// Reason is the operator's explanation.
	Reason string `json:"reason,omitempty"`
}

func (w *Wave) setDefaults() { setDefault(&w.State, WaveRun) }

func (w *Wave) check(c *checker) {
	c.name("name", w.Name)
	c.name("template", w.Template)
	c.oneOf("state", string(w.State), string(WaveRun), string(WavePause), string(WaveCancel))
}

// body is the content of an object of any kind.
type body interface {
	// setDefaults sets the fields that the document omits.
	setDefaults()
	// check reports invalid fields to c.
	check(c *checker)
}

var (
	_ body = (*Template)(nil)
	_ body = (*Parameters)(nil)
	_ body = (*Wave)(nil)
	_ body = (*Evacuation)(nil)
)

// An Object is one document of one kind.
type Object struct {
	kind Kind
	name string
	body body
}

// Kind returns the object's kind.
func (o Object) Kind() Kind { return o.kind }

// Name returns the object's name, which is unique within its kind.
func (o Object) Name() string { return o.name }

// ID returns the object's kind and name, such as "Template/payout".
func (o Object) ID() string { return ID(o.kind, o.name) }

// ID returns the ID of an object, such as "Template/payout".
func ID(kind Kind, name string) string { return string(kind) + "/" + name }

// Template returns the object as a template, or nil if it is of another kind.
func (o Object) Template() *Template { return as[Template](o) }

// Parameters returns the object as parameters, or nil if it is of another kind.
func (o Object) Parameters() *Parameters { return as[Parameters](o) }

// Wave returns the object as a wave, or nil if it is of another kind.
func (o Object) Wave() *Wave { return as[Wave](o) }

func as[T any](o Object) *T {
	t, _ := any(o.body).(*T)
	return t
}

// MarshalJSON returns the document, with its kind as the first field.
func (o Object) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(o.body)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf(`{"kind":%q,`, o.kind)
	return append([]byte(head), bytes.TrimPrefix(data, []byte("{"))...), nil
}

// UnmarshalJSON reads a stored document, which was checked when it was accepted. It
// is not checked again and may hold fields that this version of the program does not
// know: an accepted document stays in force under every version.
func (o *Object) UnmarshalJSON(data []byte) error {
	b, err := newBody("stored object", data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, b); err != nil {
		return err
	}
	b.setDefaults()
	*o = NewObject(b)
	return nil
}

// document is the part that documents of all kinds have in common.
type document struct {
	Kind Kind `json:"kind"`
}

// Parse reads and checks the documents of a file in YAML or JSON. Lines that begin
// with "---" separate documents. The error is a *CheckError that names source, field
// and value of what is invalid.
func Parse(source string, data []byte) ([]Object, error) {
	var objects []Object
	var invalid []*FieldError
	for n, part := range splitDocuments(data) {
		partSource := source
		if n > 0 {
			partSource = fmt.Sprintf("%s (document %d)", source, n+1)
		}
		o, err := parseYAML(partSource, part)
		var check *CheckError
		if errors.As(err, &check) {
			invalid = append(invalid, check.Fields...)
			continue
		}
		objects = append(objects, o)
	}
	if len(invalid) > 0 {
		return nil, &CheckError{invalid}
	}
	if len(objects) == 0 {
		return nil, &CheckError{[]*FieldError{{source, "(file)", "", "holds no document"}}}
	}
	return objects, nil
}

// splitDocuments splits data at lines that begin with "---", without empty parts.
func splitDocuments(data []byte) [][]byte {
	var parts [][]byte
	for _, p := range strings.Split("\n"+string(data), "\n---") {
		if strings.TrimSpace(p) != "" {
			parts = append(parts, []byte(p))
		}
	}
	return parts
}

func parseYAML(source string, data []byte) (Object, error) {
	asJSON, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		return Object{}, singleError(source, "(document)", firstLine(data), err.Error())
	}
	return ParseObject(source, asJSON)
}

// newBody returns an empty body of the kind that data names.
func newBody(source string, data []byte) (body, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, singleError(source, "(document)", firstLine(data), "must be a mapping with a kind")
	}
	switch d.Kind {
	case KindTemplate:
		return new(Template), nil
	case KindParameters:
		return new(Parameters), nil
	case KindWave:
		return new(Wave), nil
	case KindEvacuation:
		return new(Evacuation), nil
	}
	return nil, singleError(source, "kind", string(d.Kind), "must be one of Template, Parameters, Wave, Evacuation")
}

// ParseObject reads and checks one document in JSON. The error is a *CheckError.
func ParseObject(source string, data []byte) (Object, error) {
	b, err := newBody(source, data)
	if err != nil {
		return Object{}, err
	}
	if err := decode(source, data, b); err != nil {
		return Object{}, err
	}
	b.setDefaults()
	c := &checker{source: source}
	b.check(c)
	if err := c.err(); err != nil {
		return Object{}, err
	}
	return NewObject(b), nil
}

// NewObject returns the object of a document, which must be a *Template, *Parameters,
// *Wave or *Evacuation. It panics for any other type.
func NewObject(document any) Object {
	switch b := document.(type) {
	case *Template:
		return Object{KindTemplate, b.Name, b}
	case *Parameters:
		return Object{KindParameters, b.Name, b}
	case *Wave:
		return Object{KindWave, b.Name, b}
	case *Evacuation:
		return Object{KindEvacuation, b.Name, b}
	}
	panic(fmt.Sprintf("config: %T is not a document", document))
}

// decode reads data into b. It refuses fields that b does not have.
func decode(source string, data []byte, b body) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return singleError(source, "(document)", firstLine(data), err.Error())
	}
	delete(fields, "kind")
	rest, err := json.Marshal(fields)
	if err != nil {
		return singleError(source, "(document)", firstLine(data), err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(rest))
	dec.DisallowUnknownFields()
	err = dec.Decode(b)
	var typeError *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeError):
		last := typeError.Field[strings.LastIndex(typeError.Field, ".")+1:]
		return singleError(source, typeError.Field, findValue(rest, last), "must be of type "+typeError.Type.String())
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name := strings.Trim(field, `"`)
		return singleError(source, name, findValue(rest, name), "is not a field of this kind of document")
	}
	return singleError(source, "(document)", firstLine(data), err.Error())
}

// findValue returns the value of a field called name at any depth, as JSON, or "" if
// there is none. It serves error messages, because the decoder reports only the name.
func findValue(data []byte, name string) string {
	var v any
	if json.Unmarshal(data, &v) != nil {
		return ""
	}
	found := findField(v, name)
	if found == nil {
		return ""
	}
	out, err := json.Marshal(found)
	if err != nil {
		return ""
	}
	return string(out)
}

func findField(v any, name string) any {
	switch v := v.(type) {
	case map[string]any:
		if found, ok := v[name]; ok {
			return found
		}
		for _, inner := range v {
			if found := findField(inner, name); found != nil {
				return found
			}
		}
	case []any:
		for _, inner := range v {
			if found := findField(inner, name); found != nil {
				return found
			}
		}
	}
	return nil
}

func singleError(source, field, value, reason string) error {
	return &CheckError{[]*FieldError{{source, field, value, reason}}}
}

func firstLine(data []byte) string {
	line, _, _ := strings.Cut(strings.TrimSpace(string(data)), "\n")
	return line
}
