package refresher

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Shortest time between two reports of streams that began, unless one is urgent. A host that is
	// lost takes with it what it has not reported.
	streamInterval = 200 * time.Millisecond
	// Timeout of a question for a stream at one control host, which asks the others in that time.
	findTimeout = 700 * time.Millisecond
)

// ErrNoControl means that no control host replied.
var ErrNoControl = errors.New("refresher: no control host replied")

// SendStreams makes RunStreams send the streams that began: at once if one is urgent, else at most every
// streamInterval. It does not block.
func (r *Refresher) SendStreams(urgent bool) {
	select {
	case r.streamsRequested <- urgent:
	default:
	}
}

// RunStreams sends the streams that began at this host to a control host until ctx ends. It always
// returns nil.
func (r *Refresher) RunStreams(ctx context.Context) error {
	var sentAt time.Duration
	for ctx.Err() == nil {
		if !r.waitForStreams(ctx, sentAt+streamInterval) {
			return nil
		}
		sentAt = r.Timer.Now()
		err := errPanicked
		confiner.Call(r.Log, "streams", func() { err = r.sendStreams(ctx) })
		if err != nil && ctx.Err() == nil {
			r.Log.Warn().Err(err).Msg("streams not reported")
			_ = r.Timer.Sleep(ctx, retryDelay)
			r.SendStreams(true)
		}
	}
	return nil
}

// waitForStreams waits until streams are to be sent, but not before earliest unless they are urgent. It
// returns false when ctx ends.
func (r *Refresher) waitForStreams(ctx context.Context, earliest time.Duration) bool {
	var due <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case urgent := <-r.streamsRequested:
			delay := earliest - r.Timer.Now()
			if urgent || delay <= 0 {
				return true
			}
			if due == nil {
				elapsed := make(chan struct{})
				cancel := r.Timer.Once(delay, func() { close(elapsed) })
				defer cancel()
				due = elapsed
			}
		}
	}
}

// sendStreams sends what the nearest control host lacks.
func (r *Refresher) sendStreams(ctx context.Context) error {
	for n := range maxStreamBatches {
		streams := r.Streams.Batch()
		var breakages []*schema.Breakage
		if n == 0 && r.OwnBreakages != nil {
			breakages = r.OwnBreakages()
		}
		if len(streams) == 0 && len(breakages) == 0 {
			return nil
		}
		err := ErrNoControl
		for _, address := range r.nearestControls() {
			var process uint64
			if process, err = r.sendStreamsTo(ctx, address, &schema.StreamsRequest{Streams: streams, Breakages: breakages}); err == nil {
				r.Streams.Received(process)
				break
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// maxStreamBatches is the number of batches that are sent one after another: all streams that a host
// keeps, once more for a control host that has started again.
const maxStreamBatches = 16

func (r *Refresher) sendStreamsTo(ctx context.Context, address string, request *schema.StreamsRequest) (uint64, error) {
	conn, err := r.Dialer.Conn(address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := schema.NewClusterServiceClient(conn).RecordStreams(ctx, request)
	return reply.GetProcess(), err
}

// FindStream asks the nearest control host, and another one if it does not reply, which version began a
// stream. An error that wraps ErrNoControl means that none replied.
func (r *Refresher) FindStream(ctx context.Context, request *schema.FindStreamRequest) (*schema.FindStreamReply, error) {
	err := ErrNoControl
	for _, address := range r.nearestControls() {
		reply, callErr := r.findStreamAt(ctx, address, request)
		if callErr == nil {
			return reply, nil
		}
		err = errors.Join(ErrNoControl, callErr)
	}
	return nil, err
}

func (r *Refresher) findStreamAt(ctx context.Context, address string, request *schema.FindStreamRequest) (*schema.FindStreamReply, error) {
	conn, err := r.Dialer.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return schema.NewClusterServiceClient(conn).FindStream(ctx, request)
}
