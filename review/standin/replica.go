package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is one lifetime of a sound replica of a service.
type replica struct {
	d                                *deployment
	id, service, zone, addr, version string
	slots                            int
	// firstBeatDelay is how late the first liveness report of this lifetime is.
	firstBeatDelay time.Duration
	handler        func(r *replica, w http.ResponseWriter, q *http.Request, body []byte)

	server *http.Server
	stop   context.CancelFunc
	dead   atomic.Bool
	// leaving is set once the replica reports that it drains; report makes it report at once.
	leaving atomic.Bool
	report  chan struct{}
	drained chan time.Duration // gets the time of the first ack of that
	once    sync.Once
	born    int64 // start of the lifetime, Unix milliseconds
}

// startReplica starts a lifetime of a replica.
func (d *deployment) startReplica(r *replica) error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return fmt.Errorf("%w: %v", errNotRun, err)
	}
	r.d = d
	r.born = time.Now().UnixMilli()
	r.report, r.drained = make(chan struct{}, 1), make(chan time.Duration, 1)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	go r.announce(ctx)
	d.mu.Lock()
	d.replicas = append(d.replicas, r)
	d.mu.Unlock()
	d.rec.log("replica %s: lifetime begins at %s, service %s, zone %s, version %s", r.id, r.addr, r.service, r.zone, r.version)
	return nil
}

// crash ends the lifetime at once: its channels break, and it says nothing more.
func (r *replica) crash() {
	r.once.Do(func() {
		r.dead.Store(true)
		r.stop()
		_ = r.server.Close()
	})
}

// announce sends the liveness reports.
func (r *replica) announce(ctx context.Context) {
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		case <-r.report:
			return true
		}
	}
	if !wait(r.firstBeatDelay) {
		return
	}
	for seq := 1; ; seq++ {
		state := "ready"
		if r.leaving.Load() {
			state = "draining"
		}
		b, _ := json.Marshal(map[string]any{
			"service": r.service, "addr": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
			"warmupLeftMs": 0, "callSeq": seq, "born": r.born,
		})
		for k, first := 0, rand.IntN(len(r.d.controls)); k < len(r.d.controls) && ctx.Err() == nil; k++ {
			if status, _ := r.d.call(r.d.controls[(first+k)%len(r.d.controls)], http.MethodPost, "/Instances.Heartbeat/"+r.id, string(b)); status/100 == 2 {
				if state == "draining" {
					select {
					case r.drained <- r.d.rec.at():
					default:
					}
				}
				if seq == 1 {
					r.d.rec.log("replica %s (version %s): first liveness report acknowledged", r.id, r.version)
				}
				break
			}
		}
		if !wait(heartbeat) {
			return
		}
	}
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	if r.dead.Load() {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	switch expected := q.Header.Get("X-Expect-Instance"); {
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case expected != "" && expected != r.id:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		w.Header().Set("X-Server-Seal", fmt.Sprintf("%s.%s", r.id, id))
		r.handler(r, w, q, body)
	}
}

// drain makes the replica report that it drains, until it ends. It returns the time of the first ack.
func (r *replica) drain() time.Duration {
	r.leaving.Store(true)
	r.report <- struct{}{}
	at := <-r.drained
	r.d.rec.log("replica %s (version %s): draining, acknowledged", r.id, r.version)
	return at
}
