package controller

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

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
	// Size of entries from which a message is sent on a connection of its own, so that heartbeats
	// need not wait behind it, and its timeout: a slow connection takes seconds for it.
	minBulkBytes    = 32 << 10
	bulkSendTimeout = 8 * time.Second
)

// senders sends messages to the other replicas, with two queues for each address: one for large
// messages. A message is dropped if the queue is full: the protocol sends it again.
type senders struct {
	dialer *dialer.Dialer
	// bulk has the connections for large messages.
	bulk    *dialer.Dialer
	timer   *timer.Service
	dropped prometheus.Counter
	// id and address are those of this replica.
	id      uint64
	address string

	mu               sync.Mutex
	learnedAddresses map[uint64]string                    // addresses of replicas that sent messages, by identity; guarded by mu
	queues           map[destination]chan *schema.Message // guarded by mu
	closed           bool                                 // guarded by mu
	workers          sync.WaitGroup
}

// destination is a replica's address and which of the connections to it is used.
type destination struct {
	address string
	bulk    bool
}

// isBulk reports whether a message is sent on the connection for large messages.
func isBulk(m *schema.Message) bool {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size >= minBulkBytes || m.Snapshot != nil
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
		case s.queueTo(destination{address, isBulk(m)}) <- m:
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

// queueTo returns the queue to a destination, with its workers running. The caller holds mu.
func (s *senders) queueTo(to destination) chan *schema.Message {
	if q := s.queues[to]; q != nil {
		return q
	}
	if s.queues == nil {
		s.queues = map[destination]chan *schema.Message{}
	}
	q := make(chan *schema.Message, maxQueuedMessages)
	s.queues[to] = q
	for range callsPerReplica {
		s.workers.Go(func() { s.sendQueued(to, q) })
	}
	return q
}

func (s *senders) sendQueued(to destination, q chan *schema.Message) {
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
		s.sendBatch(to, batch)
	}
}

func (s *senders) sendBatch(to destination, batch []*schema.Message) {
	d, timeout := s.dialer, sendTimeout
	if to.bulk {
		d, timeout = s.bulk, bulkSendTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client, err := d.ControlClient(to.address)
	if err == nil {
		messages := &schema.Messages{Messages: batch, From: s.id, Address: s.address}
		_, err = client.Replicate(ctx, messages, dialer.Compression(proto.Size(messages))...)
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
	s.bulk.Close()
}
