package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"sigs.k8s.io/yaml"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines the document format in which users write jobs.

// A Document is a job as a user writes it, in YAML or JSON. Its fields are
// exported because a codec reads and writes them. They have the meaning of the
// fields of a Spec, except that steps have names by which others refer to them.
type Document struct {
	Payload string              `json:"payload,omitempty"`
	Steps   []DocumentStep      `json:"steps"`
	Recur   *DocumentRecurrence `json:"recur,omitempty"`
}

// A DocumentRecurrence makes the steps run several times. See Recurrence.
type DocumentRecurrence struct {
	Times int             `json:"times"`
	First time.Time       `json:"first"`
	Every config.Duration `json:"every"`
}

// A DocumentStep is a step of a Document. See Step for the meaning of its fields.
type DocumentStep struct {
	Name           string          `json:"name"`
	Count          int             `json:"count"`
	Need           pointport.Shape `json:"need"`
	Estimate       config.Duration `json:"estimate,omitzero"`
	After          []string        `json:"after,omitempty"` // names of earlier steps
	Checkpoints    bool            `json:"checkpoints,omitempty"`
	Gang           bool            `json:"gang,omitempty"`
	SameRack       bool            `json:"sameRack,omitempty"`
	Label          string          `json:"label,omitempty"`
	DataRack       string          `json:"dataRack,omitempty"`
	MaxPerInstance int             `json:"maxPerInstance,omitempty"`
	Copies         bool            `json:"copies,omitempty"`
	Service        bool            `json:"service,omitempty"`
	Image          string          `json:"image,omitempty"`
	TailTarget     config.Duration `json:"tailTarget,omitzero"`
	Fills          bool            `json:"fills,omitempty"`
	MayMiss        int             `json:"mayMiss,omitempty"`
}

// ParseDocument decodes a document. Unknown fields are errors.
func ParseDocument(data []byte) (*Document, error) {
	asJSON, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(asJSON))
	d.DisallowUnknownFields()
	var doc Document
	if err := d.Decode(&doc); err != nil {
		return nil, err
	}
	return &doc, nil
}

// Spec returns the job that the document describes. It fails with a *SpecError if
// a field is invalid.
func (d *Document) Spec() (*Spec, error) {
	s := &Spec{Payload: d.Payload}
	index := make(map[string]int)
	for n := range d.Steps {
		step, err := d.Steps[n].step(n, index)
		if err != nil {
			return nil, err
		}
		if name := d.Steps[n].Name; name != "" {
			index[name] = n
		}
		s.Steps = append(s.Steps, step)
	}
	if d.Recur != nil {
		every, err := durationOf("recur.every", d.Recur.Every)
		if err != nil {
			return nil, err
		}
		s.Recur = Recurrence{Times: d.Recur.Times, First: d.Recur.First, Every: every}
	}
	return s, s.Check()
}

// step returns the n-th step of the document; index contains the earlier steps by name.
func (d *DocumentStep) step(n int, index map[string]int) (Step, error) {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", n, name) }
	if _, ok := index[d.Name]; ok {
		return Step{}, &SpecError{field("name"), d.Name, "is the name of an earlier step too"}
	}
	estimate, err := durationOf(field("estimate"), d.Estimate)
	if err != nil {
		return Step{}, err
	}
	target, err := durationOf(field("tailTarget"), d.TailTarget)
	if err != nil {
		return Step{}, err
	}
	step := Step{
		Count: d.Count, Need: d.Need, Estimate: estimate, Checkpoints: d.Checkpoints, Gang: d.Gang, SameRack: d.SameRack,
		Label: d.Label, DataRack: d.DataRack, MaxPerInstance: d.MaxPerInstance, Copies: d.Copies, Service: d.Service,
		Image: d.Image, TailTarget: target, Fills: d.Fills, MayMiss: d.MayMiss,
	}
	for _, name := range d.After {
		before, ok := index[name]
		if !ok {
			return Step{}, &SpecError{field("after"), name, "must name an earlier step"}
		}
		step.After = append(step.After, before)
	}
	return step, nil
}

// durationOf returns the duration of a field. It fails with a *SpecError if it is invalid.
func durationOf(field string, d config.Duration) (time.Duration, error) {
	if !d.Valid() {
		return 0, &SpecError{field, d.String(), "must be a duration with its unit, such as 250ms"}
	}
	return d.Value(), nil
}
