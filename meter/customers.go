package meter

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// This file defines the figures of customers.

// maxCustomers is how many customers have figures of their own. Beside a few that are busy or
// held back, the others of some hundred would only make each page longer: a line takes some 60
// bytes, and collectors may take no more than the first kilobytes.
const maxCustomers = 10

// A Customer is what a customer uses of the pools that an entry instance owns, in cores.
type Customer struct {
	Name     string
	Used     float64
	HeldBack float64 // what waits for its cap alone
}

// weight says how much a customer's figures tell.
func (c Customer) weight() float64 { return c.Used + c.HeldBack }

// customers collects the figures of the customers that read returns.
type customers struct {
	read           func() []Customer
	used, heldBack *prometheus.Desc
}

var _ prometheus.Collector = (*customers)(nil)

// Customers adds the figures of customers, which are read whenever the figures are asked for.
// The customers that use or want least are summed up under the empty name.
func (m *Meter) Customers(read func() []Customer) {
	label := []string{"customer"}
	m.registry.MustRegister(&customers{
		read:     read,
		used:     prometheus.NewDesc("pointport_customer_cores", "Cores that a customer's tasks use in the pools owned here; the customers that use least together under the empty name.", label, nil),
		heldBack: prometheus.NewDesc("pointport_customer_held_back_cores", "Cores that a customer's tasks want which only its cap keeps from starting, in the pools owned here.", label, nil),
	})
}

// Describe says which figures there are.
func (c *customers) Describe(out chan<- *prometheus.Desc) {
	out <- c.used
	out <- c.heldBack
}

// Collect gives the figures.
func (c *customers) Collect(out chan<- prometheus.Metric) {
	for _, x := range busiest(c.read(), maxCustomers) {
		out <- prometheus.MustNewConstMetric(c.used, prometheus.GaugeValue, x.Used, x.Name)
		out <- prometheus.MustNewConstMetric(c.heldBack, prometheus.GaugeValue, x.HeldBack, x.Name)
	}
}

// busiest returns so many customers at most that use and want most, and the sum of the others
// under the empty name if there are any.
func busiest(all []Customer, most int) []Customer {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Name, b.Name))
	})
	if len(all) <= most {
		return all
	}
	rest := Customer{}
	for _, c := range all[most:] {
		rest.Used += c.Used
		rest.HeldBack += c.HeldBack
	}
	return append(all[:most], rest)
}
