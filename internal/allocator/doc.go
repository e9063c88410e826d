// Package allocator divides customers' limits among hosts, in two levels.
//
// The leader divides each customer's limits among the control hosts. A control host reports the
// tokens per second that are asked of it; the leader answers with an allotment: a part of each
// customer's rate and burst for a short time, in proportion to the reported demand. An allotment
// counts as in use until its time has ended, or until the control host reports that it uses a
// newer one, so the allotments in use never add up to more than the limits. A part of the limits
// is not divided but kept in a reserve, from which the leader lends tokens where an allotment does
// not suffice.
//
// A control host holds its allotments and loans in a Bucket, out of which its Lender lends tokens
// to the entry hosts that report to it, for single requests and ahead of need. Entry hosts have no
// allotments: what they may spend does not depend on how many there are. An entry host holds
// loans in a Bucket of its own.
//
// The package sends nothing itself: reports and allotments travel with the control hosts' calls
// to the leader.
package allocator
