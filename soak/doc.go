// Package soak runs the real programs as separate processes on one machine against a simulated
// platform and injects faults from outside the processes:
//
//   - proxies in front of the platform and of each instance that delay or reset connections,
//     or drop what they carry
//   - signals that stop, suspend, kill or throttle processes, which are then restarted or
//     resumed
//   - owners of pools that end with one of their transactions
//   - log output that is not read
//   - instances that stall
//   - a list of machines that lags
//
// During and after each run it checks the documented guarantees from the point of view of
// customers and instances. All its code is in tests.
//
// The model: a seed determines everything random, which is the customers' jobs and the faults with
// their times. The processes' timing varies, so a seed does not reproduce a run exactly.
// testdata/seeds.txt lists each seed that ever failed, with its cause.
//
// Each run is disturbed most of the time, so the check of serving tasks that stay away applies mainly
// after its faults and in TestServingTasksAreBack, which leaves calm times after each fault.
//
// Invariant: the soak signals only processes that it has started itself, by their process IDs.
package soak
