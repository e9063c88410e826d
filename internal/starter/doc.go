// Package starter assembles and runs the processes of a system whose hosts discover each other:
// an entry host and a control host. The package that speaks to callers, operators and upstreams
// reads the settings and provides the HTTP listeners.
//
// It starts the components and stops them in order; it makes no decisions about requests.
package starter
