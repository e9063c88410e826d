package controller

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	senderQueue = 256
	// Calls on their way to one replica at a time, so that a long round trip does not
	// hold up heartbeats.
	senderCalls = 4
	sendTimeout = time.Second
)

// senders carry messages to the other replicas, one queue each. A full queue drops: the
// protocol sends again.
type senders struct {
	dialer *dialer.Dialer
	timer  *timer.Service
	lost   prometheus.Counter
	// id and address are this replica's own.
	id      uint64
	address string

	mu     sync.Mutex
	heard  map[uint64]string               // addresses of replicas that sent something; guarded by mu
	queues map[string]chan *schema.Message // by address; guarded by mu
	closed bool                            // guarded by mu
	group  sync.WaitGroup
}

func (s *senders) send(messages []*schema.Message, members *schema.Members) {
	if len(messages) == 0 {
		return
	}
	addresses := map[uint64]string{}
	for _, m := range members.Members {
		addresses[m.Id] = m.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range messages {
		address := addresses[m.To]
		if address == "" {
			address = s.heard[m.To]
		}
		if address == "" || s.closed {
			continue
		}
		select {
		case s.queue(address) <- m:
		default:
			s.lost.Inc()
		}
	}
}

// learn notes the address of a replica that sent something.
func (s *senders) learn(id uint64, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = map[uint64]string{}
	}
	s.heard[id] = address
}

// queue returns the queue of an address. The caller holds mu.
func (s *senders) queue(address string) chan *schema.Message {
	if q := s.queues[address]; q != nil {
		return q
	}
	if s.queues == nil {
		s.queues = map[string]chan *schema.Message{}
	}
	q := make(chan *schema.Message, senderQueue)
	s.queues[address] = q
	for range senderCalls {
		s.group.Go(func() { s.work(address, q) })
	}
	return q
}

func (s *senders) work(address string, q chan *schema.Message) {
	for m := range q {
		batch := []*schema.Message{m}
	drain:
		for len(batch) < senderQueue {
			select {
			case next, ok := <-q:
				if !ok {
					break drain
				}
				batch = append(batch, next)
			default:
				break drain
			}
		}
		s.deliver(address, batch)
	}
}

func (s *senders) deliver(address string, batch []*schema.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	client, err := s.dialer.Control(address)
	if err == nil {
		_, err = client.Replicate(ctx, &schema.Messages{Messages: batch, From: s.id, Address: s.address})
	}
	if err != nil {
		s.lost.Add(float64(len(batch)))
	}
}

func (s *senders) close() {
	s.mu.Lock()
	s.closed = true
	for _, q := range s.queues {
		close(q)
	}
	s.mu.Unlock()
	s.group.Wait()
}
