// Package allocator divides customers' limits among entry hosts.
//
// The leader of the control hosts is the one who divides. A host reports what callers ask
// of it; the leader gives it a part of each customer's rate and burst for a short time, by
// what the hosts ask. What was given before counts until its time has ended, or until the
// host says that it uses a newer part, so the parts in use never add up to more than the
// whole. A host spends its part through a Bucket.
//
// The package sends nothing: parts travel with the reports of hosts and control hosts.
package allocator
