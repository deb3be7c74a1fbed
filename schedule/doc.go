// Package schedule decides which instance of a pool runs which task, and when.
// It holds the state of one pool's jobs and instances and does no input or
// output.
//
// The model: a Book is kept by the owner of a pool. It is told what happens
// (jobs, cancellations, registrations, reports and answers of instances, the
// passing of time), and Plan decides what to do about it. What must be stored
// before it may be acted upon is taken out as a Batch; once the batch is stored,
// Stored returns the orders that may be sent now.
//
// Invariants:
//
//   - A task is placed in the store before its start order is sent, so a task
//     that is stored as pending runs nowhere.
//   - A placed task is given to another incarnation only after its run is known
//     to have ended, never to start, or to have lapsed on the instance's own
//     clock.
//   - The end of a run is acknowledged to its instance only after what follows
//     from it is stored.
//   - A worker is not given more than its room, counting what is being stopped.
package schedule
