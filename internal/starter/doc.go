// Package starter assembles and runs the processes of a system whose hosts find each other: an
// entry host and a control host, each built of its components from settings that an interface
// has read. The interface adds the handlers of its own listeners.
//
// It starts the components and stops them in order; it makes no decisions about requests.
package starter
