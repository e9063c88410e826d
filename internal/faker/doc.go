// Package faker has stand-ins for upstreams, for tests, measurements and the demonstration:
// a model engine that streams, resumes, caches prefixes and reports its load with a delay, and
// a booking service that counts executions. Answers depend only on the prompt, so that a
// missing or repeated token or another request's answer is detected.
package faker
