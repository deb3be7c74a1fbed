package testbed

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines the options of a fleet.

// An Option configures a Fleet.
type Option func(*Fleet)

// WithWork sets what tasks do.
func WithWork(work WorkSource) Option { return func(f *Fleet) { f.work = work } }

// WithCapacityEnforcement sets whether instances refuse tasks that do not fit.
func WithCapacityEnforcement(enforced bool) Option {
	return func(f *Fleet) { f.enforcesCapacity = enforced }
}

// WithSparePool names the pool whose machines are off.
func WithSparePool(pool string) Option { return func(f *Fleet) { f.sparePool = pool } }

// WithAddresseeReuse sets the percentage of boots at which a machine keeps its previous addressee.
// The new incarnation has no state of the previous one, and its clock and the numbers of its ends
// start anew. With 0 percent no two incarnations share an addressee, so the addressee alone
// distinguishes them.
func WithAddresseeReuse(percent int) Option { return func(f *Fleet) { f.reusePercent = percent } }

// WithCancelTimeCheck makes the fleet check that no start of a cancelled job is sent later than
// CancelTime, for tests in which nothing keeps the owners from learning of cancellations.
func WithCancelTimeCheck() Option { return func(f *Fleet) { f.checksCancelTime = true } }

// WithCalmDuringOrders makes the check of serving tasks regard the fleet as calm while machines are moved or
// maintained by order, for fleets in which some machine nearly always is. Without it, orders about machines
// that run nothing could excuse any absence.
func WithCalmDuringOrders() Option { return func(f *Fleet) { f.serving.ordersDisturb = false } }

// WithDeregistrationDelay sets how long the registration of an incarnation stays when the
// incarnation ends without having announced it, as on a platform that removes a registration only
// after missed heartbeats.
func WithDeregistrationDelay(d time.Duration) Option {
	return func(f *Fleet) { f.deregistrationDelay = d }
}

// WithRegistrationObserver sets a function that is called with true for each new or changed
// registration, and with false when a registration ends.
func WithRegistrationObserver(register func(pointport.Incarnation, bool)) Option {
	return func(f *Fleet) { f.onRegistration = register }
}

// WithAddresses sets the address at which the incarnations of each machine receive orders.
func WithAddresses(address func(pointport.InstanceID) string) Option {
	return func(f *Fleet) {
		f.address = func(id pointport.InstanceID, _ pointport.IncarnationID) string { return address(id) }
	}
}

// placeholderAddress returns an address for fleets that receive no orders over the network.
func placeholderAddress(_ pointport.InstanceID, id pointport.IncarnationID) string {
	return string(id) + ":1"
}
