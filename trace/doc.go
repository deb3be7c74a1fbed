// Package trace puts the lines that several entry instances have logged about one
// job together to one story, oldest first.
//
// The model: Read takes the lines of one process's log. A Story has the lines
// that name the job or one of its tasks, and those about what the job depended
// on: who owned its pool, and which nodes that took part had lost the store,
// started or stopped. It names the gaps in which nothing was logged, and says
// plainly if lines were left out.
//
// Invariant: a line that cannot be read is counted and never passed over in
// silence.
package trace
