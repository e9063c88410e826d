// Package assigner decides which regions serve the work that callers ask for: it assigns the demand for a pool,
// known by caller region and set of homes, to regions by their capacity. Work that few regions may serve gets its
// capacity first, other work fills the rest. It also measures the demand at one host. It knows no requests, hosts
// or network; homes remain strict where requests are sent.
package assigner
