// Package command holds the command lines of the programs: it reads settings, builds the
// parts and runs them until a signal. It decides nothing else.
package command
