// Package recorder keeps the records by which a call that must not be repeated runs at most
// once.
//
// Each region has a group of holders: the hosts of the region and, if these are too few,
// witnesses in other regions, which receive only keyed hashes. Before the first byte of a
// call is sent, a majority of the holders, and at least two, must have accepted its intent. A
// holder accepts the first intent for a key and no other, so two intents never both get a
// majority.
//
// A holder that restarted without its records accepts nothing until it has fetched the
// records of enough other holders to know every intent that an earlier incarnation of it
// helped to accept. Its recovery request also informs the other holder of the new incarnation;
// an acceptance by an older incarnation no longer counts together with one by a holder that
// knows the newer. If too many holders lost their records at once, the group accepts nothing,
// and resends are answered with unknown, until every record that may be lost has expired or an
// operator resets the group.
//
// The package sends nothing itself and does not depend on HTTP.
package recorder
