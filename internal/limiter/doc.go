// Package limiter keeps customers within rate and burst over all hosts together.
//
// Every host owns a share of each customer's rate and burst; the shares add up to the
// whole. A tenth of its share, the floor, a host keeps for itself. The rest it lends, a
// lease at a time, to one lender for each shard of customers: the host that it ranks
// highest among those that answer. A lender's bucket for a customer fills at the sum of
// the shares lent to it, and it grants tokens from it for a short time.
//
// A host lends to one lender at a time, and moves its share only after the old lease and
// every grant made from it have ended, by clocks that may drift. So the sum of what all
// hosts may spend never exceeds rate and burst, whoever lenders are thought to be: no
// agreement is needed, and hosts that are cut off with each other form a lender of their
// own shares. Tokens are charged when work is admitted; what it did not need is refunded.
//
// The package sends nothing itself; see Transport.
package limiter
