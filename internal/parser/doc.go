// Package parser reads and writes the operators' sheet: a CSV file that states all
// customers, models and routes. It reports every bad row at once, and accepts a sheet
// whole or not at all. It does not know the configuration in force.
package parser
