package schedule

import "time"

// This file defines for how long the answers of silent instances are waited for.

// lookPatience is how much longer than usual an owner waits for the answer of a silent
// instance when all are silent, and proportionally less when some are. Answers that come
// later than the usual wait are lost with it, and each look that is given up costs a new
// connection: on 0.12 of a core, looks at 102 silent instances every 0.55 s took all the
// time in which their answers could have been read.
const lookPatience = 1600 * time.Millisecond

// ExtraPollTimeout returns how much longer than usual to wait for the answer to a look.
func (b *Scheduler) ExtraPollTimeout(w *Worker) time.Duration {
	if !w.silent {
		return 0
	}
	return time.Duration(b.hearing.silentShare * float64(lookPatience))
}
