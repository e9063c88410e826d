// Package limiter keeps customers within rate and burst over all hosts together.
//
// Every host owns a share of each customer's rate and burst; the shares add up to the
// whole. A host keeps a tenth of its share, the floor, for itself. It lends the rest, for the
// duration of a lease, to one lender for each shard of customers: the host that it prefers
// among those that answer. A lender has a token bucket for each customer, which fills at the
// sum of the shares lent to it, and gives hosts tokens out of it: a grant, valid for a short
// time.
//
// The three roles, all of which every host has, are Donor (lends the host's share), Lender
// (holds the shares lent to it and makes grants) and Spender (spends floor and grants).
//
// A host lends to one lender at a time, and moves its share to another only after the old
// lease and every grant made from it have ended, allowing for clock drift. So the sum of what
// all hosts may spend never exceeds rate and burst, whichever hosts are taken for lenders: no
// agreement is needed, and hosts that are partitioned from the rest form a lender of their
// own shares. Tokens are charged when a request is admitted; those that it did not need are
// refunded.
//
// The package sends nothing itself; see Transport.
package limiter
