// Package starter puts the processes of a system together whose hosts find each other: an
// entry host and a control host, each with the parts it needs, from settings that an
// interface has read. The interface adds its own listeners' handlers.
//
// It starts parts and ends them in order; it decides nothing about requests.
package starter
