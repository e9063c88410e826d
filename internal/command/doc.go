// Package command implements the command lines of the programs: it reads settings, creates the
// components and runs them until a signal arrives or one of them ends. It contains no other
// logic.
package command
