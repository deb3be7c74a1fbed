// Package meter measures an entry instance: it counts the events that the instance
// logs and the calls that it makes, and serves the metrics in Prometheus' text format.
//
// A Meter wraps the dependencies of the other packages: the logger's handler, the
// store, the executor of orders, the platform's machines and the advisor. The other
// packages do not know of it, so a metric cannot differ from what they do.
//
// Invariants:
//
//   - An event is counted even if its line is left out of the log.
//   - The values of labels are constants in the code, so their number is bounded. The
//     names of customers are the exception: see Meter.Customers.
package meter
