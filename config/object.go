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

// This file defines the object, which is one document of one kind, and how
// documents are read.

// A Kind is a kind of object.
type Kind string

// The kinds of objects.
const (
	KindTemplate   Kind = "Template"
	KindParameters Kind = "Parameters"
	KindWave       Kind = "Wave"
	KindEvacuation Kind = "Evacuation"
)

// Kinds lists the kinds of objects.
func Kinds() []Kind { return []Kind{KindTemplate, KindParameters, KindWave, KindEvacuation} }

// Parameters are what one customer fills in: what a template leaves to it, and
// its own quota and share.
type Parameters struct {
	Name string `json:"name"`
	// Template names the template whose values are replaced; empty if the
	// document only holds the customer's share and quota.
	Template string `json:"template,omitempty"`
	// Size, Spare, Speed and Spread replace the template's values.
	Size   *int     `json:"size,omitempty"`
	Spare  *Count   `json:"spare,omitempty"`
	Speed  *Count   `json:"speed,omitempty"`
	Spread []Domain `json:"spread,omitempty"`
	// Customer names the customer whose requests and jobs have Weight and
	// Quota; empty for the document's own name.
	Customer string `json:"customer,omitempty"`
	// Weight is the customer's share of what is scarce, against the others'.
	Weight float64 `json:"weight"`
	// Quota bounds what the customer's jobs use at once, in thousandths of a
	// processor; zero for no bound.
	QuotaCPUMilli int64 `json:"quotaCPUMilli"`
	// From and Until bound when the values are in force; empty for always.
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
	c.ratio("weight", p.Weight, 0.01, 1000)
	if p.QuotaCPUMilli < 0 {
		c.fail("quotaCPUMilli", strconv.FormatInt(p.QuotaCPUMilli, 10), "must not be negative")
	}
	if p.From != nil && p.Until != nil && !p.From.Before(*p.Until) {
		c.fail("until", p.Until.Format(time.RFC3339), "must be after from (%s)", p.From.Format(time.RFC3339))
	}
}

// A WaveState is what an operator wants of a wave.
type WaveState string

// The states that an operator can ask for.
const (
	WaveRun    WaveState = "run"
	WavePause  WaveState = "pause"
	WaveCancel WaveState = "cancel"
)

// A Wave asks for every instance of a pool to be maintained once.
type Wave struct {
	Name string `json:"name"`
	// Template names the pool.
	Template string `json:"template"`
	// State is what the operator wants.
	State WaveState `json:"state"`
	// Racks asks for whole racks at a time, as far as budget and spread allow.
	Racks bool `json:"racks"`
	// Reason is kept for whoever asks why.
	Reason string `json:"reason,omitempty"`
}

func (w *Wave) setDefaults() { setDefault(&w.State, WaveRun) }

func (w *Wave) check(c *checker) {
	c.name("name", w.Name)
	c.name("template", w.Template)
	c.oneOf("state", string(w.State), string(WaveRun), string(WavePause), string(WaveCancel))
}

// body is what each kind of object can do.
type body interface {
	setDefaults()
	check(c *checker)
}

var (
	_ body = (*Template)(nil)
	_ body = (*Parameters)(nil)
	_ body = (*Wave)(nil)
	_ body = (*Evacuation)(nil)
)

// An Object is one checked document.
type Object struct {
	kind Kind
	name string
	body body
}

// Kind returns the object's kind.
func (o Object) Kind() Kind { return o.kind }

// Name returns the object's name, which is unique within its kind.
func (o Object) Name() string { return o.name }

// ID returns kind and name, such as "Template/payout".
func (o Object) ID() string { return ID(o.kind, o.name) }

// ID returns the identity of the object of kind called name.
func ID(kind Kind, name string) string { return string(kind) + "/" + name }

// Template returns the object's template, or nil if it is of another kind.
func (o Object) Template() *Template { return as[Template](o) }

// Parameters returns the object's parameters, or nil if it is of another kind.
func (o Object) Parameters() *Parameters { return as[Parameters](o) }

// Wave returns the object's wave, or nil if it is of another kind.
func (o Object) Wave() *Wave { return as[Wave](o) }

func as[T any](o Object) *T {
	t, _ := any(o.body).(*T)
	return t
}

// MarshalJSON writes the document with its kind.
func (o Object) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(o.body)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf(`{"kind":%q,`, o.kind)
	return append([]byte(head), bytes.TrimPrefix(data, []byte("{"))...), nil
}

// UnmarshalJSON reads one document that was accepted before. It is not checked
// again and may hold fields that this version does not know, because what was
// accepted stays in force whatever the version of the program.
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

// document is the part that every document has.
type document struct {
	Kind Kind `json:"kind"`
}

// Parse reads the documents of a file in YAML or JSON, split by lines of
// "---", and checks them. Its error is a *CheckError that names source, field
// and value.
func Parse(source string, data []byte) ([]Object, error) {
	var objects []Object
	var bad []*FieldError
	for n, part := range splitDocuments(data) {
		where := source
		if n > 0 {
			where = fmt.Sprintf("%s (document %d)", source, n+1)
		}
		o, err := parseYAML(where, part)
		var check *CheckError
		if errors.As(err, &check) {
			bad = append(bad, check.Fields...)
			continue
		}
		objects = append(objects, o)
	}
	if len(bad) > 0 {
		return nil, &CheckError{bad}
	}
	if len(objects) == 0 {
		return nil, &CheckError{[]*FieldError{{source, "(file)", "", "holds no document"}}}
	}
	return objects, nil
}

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

// newBody returns the empty body of the kind that data names.
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

// ParseObject reads and checks one document in JSON.
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

// NewObject returns the object of a template, parameters, a wave or an evacuation.
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
	panic(fmt.Sprintf("config: %T is no document", document))
}

// decode reads data strictly into b.
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
	var wrong *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrong):
		last := wrong.Field[strings.LastIndex(wrong.Field, ".")+1:]
		return singleError(source, wrong.Field, findValue(rest, last), "must be of type "+wrong.Type.String())
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name := strings.Trim(field, `"`)
		return singleError(source, name, findValue(rest, name), "is not a field of this kind of document")
	}
	return singleError(source, "(document)", firstLine(data), err.Error())
}

// findValue finds the value of the first field called name, at any depth.
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
