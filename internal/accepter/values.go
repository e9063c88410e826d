package accepter

// MaxHeaderValues is the maximum number of header values that net/http may count in a request. It is the size of the
// largest request header that callers may send, in bytes, so that the number never refuses one of them: a Gate bounds
// the lines and their memory. The default of Go 1.27 is 500.
const MaxHeaderValues = 16384
