// Package trace merges the log lines that several entry instances wrote about one job into
// a timeline, oldest line first.
//
// Log.Read reads the log of one process. A Timeline has the lines that name the job or one
// of its tasks or steps, and the lines about what the job depended on: who owned its pool,
// and whether a node involved lost the store, started or stopped. It also shows the gaps
// during which nothing was logged, and how many lines were omitted from the logs.
//
// Lines that cannot be read are counted, and the timeline reports how many there are.
package trace
