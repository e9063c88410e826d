package forwarder

// charge takes a request's tokens off its customer's limits.
func (f *Forwarder) charge(r *Request) error {
	if r.customer == nil {
		return nil
	}
	r.tokens = r.customer.Plain
	if r.Counted {
		r.tokens = float64(r.Input + r.Output)
	}
	_, err := f.Bucket.Take(r.customer.Name, r.tokens)
	if err != nil {
		r.tokens = 0
	}
	return err
}

// refund gives the tokens of a request back that did not run.
func (f *Forwarder) refund(r *Request) {
	if r.customer != nil && r.tokens > 0 {
		f.Bucket.Refund(r.customer.Name, r.tokens)
	}
}
