package meter_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/meter"
)

// TestCustomerMetricsAreBounded checks that only the customers that use or want most have
// metrics of their own, and that the others are summed. Otherwise a page of metrics grows with
// the number of customers.
func TestCustomerMetricsAreBounded(t *testing.T) {
	m := meter.New(clock.System{})
	m.Customers(func() []meter.Customer {
		all := []meter.Customer{{Name: "busy", Used: 40}, {Name: "held back", HeldBack: 12.5}}
		for n := range 400 {
			all = append(all, meter.Customer{Name: fmt.Sprintf("small-%03d", n), Used: 0.5})
		}
		return all
	})
	wantLines(t, m,
		`pointport_customer_cores{customer="busy"} 40`,
		`pointport_customer_held_back_cores{customer="held back"} 12.5`,
		`pointport_customer_cores{customer="small-007"} 0.5`,
		`pointport_customer_cores{customer=""} 196`,
	)
	if n := strings.Count(servedMetrics(m), "pointport_customer_cores{"); n != 11 {
		t.Errorf("%d lines of customers' cores, want 10 of customers and 1 of the others", n)
	}
}
