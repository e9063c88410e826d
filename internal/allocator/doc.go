// Package allocator divides customers' limits among entry hosts.
//
// The leader of the control hosts does the division. A host reports the tokens per second
// that callers ask of it; the leader answers with an allotment: a part of each customer's
// rate and burst for a short time, in proportion to the reported demand. An allotment counts
// as in use until its time has ended, or until the host reports that it uses a newer one, so
// the allotments in use never add up to more than the limits. A host spends its allotments
// through a Bucket.
//
// A part of the limits is not divided but kept in a reserve, from which the leader lends
// tokens to hosts for single requests.
//
// The package sends nothing itself: allotments travel with the reports of hosts and the
// replies of control hosts.
package allocator
