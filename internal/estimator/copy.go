package estimator

// Copy returns a copy of g with which a decision on one request can be tried: of the shared parts it holds only those
// of the request. Pool is the copy of the pool's speed.
func (g *Engine) Copy(pool *Speed, parts []Part) *Engine {
	c := *g
	c.Speed.Pool = pool
	c.shared = map[string]*sharedPart{}
	for _, p := range parts {
		if x := g.shared[p.ID]; x != nil {
			k := *x
			c.shared[p.ID] = &k
		}
	}
	return &c
}
