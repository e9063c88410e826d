// Package faker stands in for upstreams in tests, measurements and the demonstration: a
// model engine that streams, resumes, caches prefixes and reports its load late, and a
// booking service that counts what it ran. Answers depend only on the prompt, so that a
// gap, a repeat or another request's answer shows.
package faker
