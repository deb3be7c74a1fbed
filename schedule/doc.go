// Package schedule decides which instance of a pool runs which task, and when. It holds the state
// of one pool's jobs and instances and does no input or output.
//
// The owner of a pool keeps one Scheduler. It passes in events (jobs, cancellations, registrations,
// reports and answers of instances, the passing of time), and Plan decides what to do about them.
// Changes that must be stored before they take effect are taken as a Batch; once the batch is
// stored, Stored releases the orders that depend on it, and TakeOrders returns them.
//
// Invariants:
//
//   - A placement is stored before its start order is sent, so a task that is stored as pending
//     runs nowhere. Excepted are first runs that an owner starts unrecorded while it is proven by
//     peer leases alone; a successor holds back the tasks that may have one.
//   - A placed task is given to another incarnation only after its run is known to have ended, is
//     known never to start, or has outlived its lease on the instance's own clock.
//   - The end of a run is acknowledged to its instance only after its consequences are stored.
//   - A worker is not given more than its capacity, counting the runs that are being stopped.
package schedule
