package pointport

import "time"

// This file defines what an incarnation of an instance says of itself in its
// registration.

// An Incarnation is one life of an instance, as it has registered itself. The
// registration lags behind reality, so it is a hint and never a proof.
type Incarnation struct {
	id       IncarnationID
	instance InstanceID
	pool     string
	address  string
	zone     ZoneID
	draining bool
	left     time.Duration
	cold     time.Duration
	capacity Shape
	labels   []string
	rack     string
}

// An IncarnationOption sets a part of an Incarnation.
type IncarnationOption func(*Incarnation)

// NewIncarnation returns the registration of an incarnation of a pool, which
// takes orders at address, host:port.
func NewIncarnation(id IncarnationID, pool, address string, options ...IncarnationOption) Incarnation {
	i := Incarnation{id: id, pool: pool, address: address}
	for _, o := range options {
		o(&i)
	}
	return i
}

// WithInstance names the instance whose life it is.
func WithInstance(id InstanceID) IncarnationOption { return func(i *Incarnation) { i.instance = id } }

// WithZone names the availability zone.
func WithZone(z ZoneID) IncarnationOption { return func(i *Incarnation) { i.zone = z } }

// WithCapacity sets the size.
func WithCapacity(s Shape) IncarnationOption { return func(i *Incarnation) { i.capacity = s } }

// WithLabels sets the labels, among them its kind and its rack.
func WithLabels(labels []string) IncarnationOption { return func(i *Incarnation) { i.labels = labels } }

// WithRack names the rack.
func WithRack(rack string) IncarnationOption { return func(i *Incarnation) { i.rack = rack } }

// WithDraining says that the incarnation leaves, and how long it stays at least.
func WithDraining(left time.Duration) IncarnationOption {
	return func(i *Incarnation) { i.draining, i.left = true, left }
}

// WithColdRemaining says for how long it is slow yet.
func WithColdRemaining(d time.Duration) IncarnationOption { return func(i *Incarnation) { i.cold = d } }

// ID returns the identity of this life.
func (i Incarnation) ID() IncarnationID { return i.id }

// Instance returns the instance whose life it is.
func (i Incarnation) Instance() InstanceID { return i.instance }

// Pool returns the pool that the instance belongs to.
func (i Incarnation) Pool() string { return i.pool }

// Address returns where it takes orders, host:port.
func (i Incarnation) Address() string { return i.address }

// Zone returns the availability zone.
func (i Incarnation) Zone() ZoneID { return i.zone }

// Draining reports whether it is about to end on purpose.
func (i Incarnation) Draining() bool { return i.draining }

// Remaining returns how long a draining incarnation stays at least, counted from its
// registration.
func (i Incarnation) Remaining() time.Duration { return i.left }

// ColdRemaining returns for how long the incarnation is slow yet, as after its start, counted from its
// registration.
func (i Incarnation) ColdRemaining() time.Duration { return i.cold }

// Capacity returns its size.
func (i Incarnation) Capacity() Shape { return i.capacity }

// Labels returns its labels, which must not be changed.
func (i Incarnation) Labels() []string { return i.labels }

// Rack returns the rack that the instance is in, empty if it is not known.
func (i Incarnation) Rack() string { return i.rack }
