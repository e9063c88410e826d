// Package journaler implements a write-ahead log: checksummed frames of records that are
// appended to segment files and synced. It does not interpret the records.
//
// A frame that a crash truncated at the end of the newest segment is dropped. Any other
// damage is an error that names the file and offset. After a failed write or sync a journal
// accepts no more records, since the kernel may have discarded the data that it failed to
// write.
package journaler
