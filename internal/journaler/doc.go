// Package journaler appends checksummed frames to segmented files and syncs them. It
// knows nothing of what the frames mean.
//
// A frame that a crash cut short at the end of the newest segment is dropped. Damage
// anywhere else is refused, with the file and offset named. After a failed write or sync
// a journal takes no more frames, since the kernel may have dropped what it could not write.
package journaler
