package cli

// This file lists the subcommands of the program pointport.

// Group is a group of subcommands that are listed together in the help.
type Group struct {
	Name     string
	Commands []*Command
}

// OperatorGroups returns the subcommands of the program pointport, by group.
func OperatorGroups() []Group {
	return []Group{
		{"commands", []*Command{Apply(), Delete(), Wave(), Evacuate(), Job(), Workload()}},
		{"queries", []*Command{Get(), Status(), Audit(), Explain(), Plan(), Trace()}},
		{"trials", []*Command{Standin(), Grid(), Load(), Evaluate()}},
	}
}
