package meter

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// This file defines the metrics of customers.

// maxCustomers limits the customers with metrics of their own. Of some hundred customers, a
// few are busy or held back by their caps. The others would only make each page of metrics
// longer: a line takes some 60 bytes, and collectors may keep only the first kilobytes.
const maxCustomers = 10

// A Customer is a customer's use of the pools that an entry instance owns, in cores.
type Customer struct {
	Name     string
	Used     float64
	HeldBack float64 // wanted by tasks that only the customer's cap keeps from starting
}

// weight is the key by which customers are ranked for metrics of their own.
func (c Customer) weight() float64 { return c.Used + c.HeldBack }

// customers collects the metrics of the customers that read returns.
type customers struct {
	read           func() []Customer
	used, heldBack *prometheus.Desc
}

var _ prometheus.Collector = (*customers)(nil)

// Customers adds the metrics of customers. It calls read whenever the metrics are requested.
// Beyond maxCustomers, the customers that use and want least are summed under the empty name.
func (m *Meter) Customers(read func() []Customer) {
	label := []string{"customer"}
	m.registry.MustRegister(&customers{
		read:     read,
		used:     prometheus.NewDesc("pointport_customer_cores", "Cores that a customer's tasks use in the pools owned here; the customers that use least together under the empty name.", label, nil),
		heldBack: prometheus.NewDesc("pointport_customer_held_back_cores", "Cores that a customer's tasks want which only its cap keeps from starting, in the pools owned here.", label, nil),
	})
}

// Describe sends the descriptions of the metrics.
func (c *customers) Describe(out chan<- *prometheus.Desc) {
	out <- c.used
	out <- c.heldBack
}

// Collect sends the current metrics.
func (c *customers) Collect(out chan<- prometheus.Metric) {
	for _, x := range busiest(c.read(), maxCustomers) {
		out <- prometheus.MustNewConstMetric(c.used, prometheus.GaugeValue, x.Used, x.Name)
		out <- prometheus.MustNewConstMetric(c.heldBack, prometheus.GaugeValue, x.HeldBack, x.Name)
	}
}

// busiest returns up to limit customers that use and want most, followed by the sum of the
// others under the empty name if there are any.
func busiest(all []Customer, limit int) []Customer {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Name, b.Name))
	})
	if len(all) <= limit {
		return all
	}
	rest := Customer{}
	for _, c := range all[limit:] {
		rest.Used += c.Used
		rest.HeldBack += c.HeldBack
	}
	return append(all[:limit], rest)
}
