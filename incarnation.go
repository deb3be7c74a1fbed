package pointport

import "time"

// This file defines the registrations of incarnations.

// An Incarnation is the registration of one incarnation of an instance, as
// published by itself. A registration lags behind reality, so it is a hint and
// never a proof.
type Incarnation struct {
	id            IncarnationID
	instance      InstanceID
	pool          string
	address       string
	zone          ZoneID
	draining      bool
	remaining     time.Duration
	coldRemaining time.Duration
	capacity      Shape
	labels        []string
	rack          string
}

// An IncarnationOption sets a part of an Incarnation.
type IncarnationOption func(*Incarnation)

// NewIncarnation returns the registration of an incarnation in a pool that
// accepts orders at address, a host:port.
func NewIncarnation(id IncarnationID, pool, address string, options ...IncarnationOption) Incarnation {
	i := Incarnation{id: id, pool: pool, address: address}
	for _, o := range options {
		o(&i)
	}
	return i
}

// WithInstance sets the instance that the incarnation belongs to.
func WithInstance(id InstanceID) IncarnationOption { return func(i *Incarnation) { i.instance = id } }

// WithZone sets the availability zone.
func WithZone(z ZoneID) IncarnationOption { return func(i *Incarnation) { i.zone = z } }

// WithCapacity sets the capacity of the instance.
func WithCapacity(s Shape) IncarnationOption { return func(i *Incarnation) { i.capacity = s } }

// WithLabels sets the labels, which include the kind and the rack.
func WithLabels(labels []string) IncarnationOption { return func(i *Incarnation) { i.labels = labels } }

// WithRack sets the rack.
func WithRack(rack string) IncarnationOption { return func(i *Incarnation) { i.rack = rack } }

// WithDraining marks the incarnation as draining. It will stay at least for the
// remaining time.
func WithDraining(remaining time.Duration) IncarnationOption {
	return func(i *Incarnation) { i.draining, i.remaining = true, remaining }
}

// WithColdRemaining sets for how much longer the incarnation is slow.
func WithColdRemaining(d time.Duration) IncarnationOption {
	return func(i *Incarnation) { i.coldRemaining = d }
}

// ID returns the identity of the incarnation.
func (i Incarnation) ID() IncarnationID { return i.id }

// Instance returns the instance that the incarnation belongs to.
func (i Incarnation) Instance() InstanceID { return i.instance }

// Pool returns the pool that the instance belongs to.
func (i Incarnation) Pool() string { return i.pool }

// Address returns the host:port at which the incarnation accepts orders.
func (i Incarnation) Address() string { return i.address }

// AtAddress returns i with another address.
func (i Incarnation) AtAddress(address string) Incarnation {
	i.address = address
	return i
}

// Zone returns the availability zone.
func (i Incarnation) Zone() ZoneID { return i.zone }

// Draining reports whether the incarnation is going to shut down as planned.
func (i Incarnation) Draining() bool { return i.draining }

// Remaining returns the minimum time for which a draining incarnation stays,
// counted from its registration.
func (i Incarnation) Remaining() time.Duration { return i.remaining }

// ColdRemaining returns for how much longer the incarnation is slow, as after a
// start, counted from its registration.
func (i Incarnation) ColdRemaining() time.Duration { return i.coldRemaining }

// Capacity returns the capacity of the instance.
func (i Incarnation) Capacity() Shape { return i.capacity }

// Labels returns the labels. The caller must not modify them.
func (i Incarnation) Labels() []string { return i.labels }

// Rack returns the rack that the instance is in; empty if it is unknown.
func (i Incarnation) Rack() string { return i.rack }
