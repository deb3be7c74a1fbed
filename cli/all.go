package cli

// This file defines which subcommands each program has.

// A Group is subcommands that are shown together.
type Group struct {
	Name     string
	Commands []*Command
}

// OperatorGroups returns the subcommands of pointport.
func OperatorGroups() []Group {
	return []Group{
		{"commands", []*Command{Apply(), Delete(), Wave(), Evacuate(), Job(), Workload()}},
		{"queries", []*Command{Get(), Status(), Audit(), Explain(), Plan(), Trace()}},
		{"trials", []*Command{Standin(), Grid(), Load(), Evaluate()}},
	}
}
