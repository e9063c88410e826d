// Package recorder makes sure that a call that may not be repeated runs at most once.
//
// Each region has a group of holders, the hosts of the region and, if they are too few,
// witnesses in other regions, which get only keyed hashes. Before the first byte of a call
// is sent, a majority of the holders, and at least two, must have accepted its intent. A
// holder accepts the first intent for a key and no other, so two intents never both get a
// majority.
//
// A holder that lost its memory accepts nothing until it has surveyed enough others to
// know every intent that its former self helped to accept. A survey also tells the
// surveyed holder of the new incarnation; an acceptance by an older incarnation no longer
// counts beside one by a holder that knows better. If too many holders lost their memory
// at once, the group stays closed, and resends are answered with unknown, until every
// record that may be lost has expired or an operator resets the group.
//
// The package does not send anything itself and knows nothing of HTTP.
package recorder
