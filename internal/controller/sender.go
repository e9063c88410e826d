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
	maxQueuedMessages = 256
	// Number of concurrent calls to one replica, so that a long round trip does not delay
	// heartbeats.
	callsPerReplica = 4
	sendTimeout     = time.Second
)

// senders sends messages to the other replicas, with one queue for each address. A message is
// dropped if the queue is full: the protocol sends it again.
type senders struct {
	dialer  *dialer.Dialer
	timer   *timer.Service
	dropped prometheus.Counter
	// id and address are those of this replica.
	id      uint64
	address string

	mu               sync.Mutex
	learnedAddresses map[uint64]string               // addresses of replicas that sent messages, by identity; guarded by mu
	queues           map[string]chan *schema.Message // by address; guarded by mu
	closed           bool                            // guarded by mu
	workers          sync.WaitGroup
}

func (s *senders) enqueue(messages []*schema.Message, members *schema.Members) {
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
			address = s.learnedAddresses[m.To]
		}
		if address == "" || s.closed {
			continue
		}
		select {
		case s.queueTo(address) <- m:
		default:
			s.dropped.Inc()
		}
	}
}

// learnAddress stores the address of a replica that sent a message, which is used until the
// replica is a member.
func (s *senders) learnAddress(id uint64, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.learnedAddresses == nil {
		s.learnedAddresses = map[uint64]string{}
	}
	s.learnedAddresses[id] = address
}

// queueTo returns the queue to an address, with its workers running. The caller holds mu.
func (s *senders) queueTo(address string) chan *schema.Message {
	if q := s.queues[address]; q != nil {
		return q
	}
	if s.queues == nil {
		s.queues = map[string]chan *schema.Message{}
	}
	q := make(chan *schema.Message, maxQueuedMessages)
	s.queues[address] = q
	for range callsPerReplica {
		s.workers.Go(func() { s.sendQueued(address, q) })
	}
	return q
}

func (s *senders) sendQueued(address string, q chan *schema.Message) {
	for m := range q {
		batch := []*schema.Message{m}
	drain:
		for len(batch) < maxQueuedMessages {
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
		s.sendBatch(address, batch)
	}
}

func (s *senders) sendBatch(address string, batch []*schema.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	client, err := s.dialer.ControlClient(address)
	if err == nil {
		_, err = client.Replicate(ctx, &schema.Messages{Messages: batch, From: s.id, Address: s.address})
	}
	if err != nil {
		s.dropped.Add(float64(len(batch)))
	}
}

func (s *senders) close() {
	s.mu.Lock()
	s.closed = true
	for _, q := range s.queues {
		close(q)
	}
	s.mu.Unlock()
	s.workers.Wait()
}
