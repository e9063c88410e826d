// Package resumer keeps which version of an upstream's software began each stream that may be resumed.
// What two versions write does not fit together, so a stream may go on only at the version that began
// it, and nothing else tells: callers name the request that brought the first event, upstreams do not
// check.
//
// An entry host records the streams that begin at its upstreams in an Index and sends the records to a
// control host at once, so that they outlive it. A host at which a caller takes up a stream looks in its
// own Index, then asks a control host, which asks the others if it has no record. If none has one, as
// the host that began the stream was lost first, the version is known only if all control hosts have
// observed, for longer than a stream lasts, that its pool had a single one. What is seen at the moment
// proves nothing: the other version may have left.
//
// The package sends nothing itself. Everything is bounded in number and time.
package resumer
