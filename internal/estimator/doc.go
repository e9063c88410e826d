// Package estimator estimates what a request costs an engine, and what an engine still has to do, from what one
// entry host observes: the lengths of answers, the speed of each engine's process, the work that is left there and
// the tokens that it holds. It does no network I/O and makes no choice between engines; the scheduler does.
//
// The tokens of an answer are estimated from earlier ones of the same route, customer and caller's estimate, as the
// ratio of the actual to the estimated number. An engine's speed is the time to read one prompt token and the time of
// a step as a linear function of the requests that run. A slow spell of at most a second does not change it.
//
// Work is measured in engine time: the time that an engine with all slots in use spends on a request.
//
// Nothing here may be used concurrently: the scheduler's lock guards it.
package estimator
