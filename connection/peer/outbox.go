package peer

import (
	"context"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

const (
	// maxQueued is the number of messages that may wait for one stream.
	maxQueued = 1024
	// maxBatch is the largest number of messages in one batch.
	maxBatch = 256
)

// outbox collects the messages for one stream into batches.
type outbox struct {
	queue   chan *peerpb.Envelope
	traffic *Traffic
}

func newOutbox(traffic *Traffic) *outbox {
	return &outbox{queue: make(chan *peerpb.Envelope, maxQueued), traffic: traffic}
}

// enqueue queues a message. It reports false if the outbox is full.
func (o *outbox) enqueue(message *peerpb.Envelope) bool {
	select {
	case o.queue <- message:
		return true
	default:
		return false
	}
}

// run sends batches until ctx ends or send fails. The first batch carries from,
// the name of the sender.
func (o *outbox) run(ctx context.Context, from string, send func(*peerpb.Batch) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-o.queue:
			batch := &peerpb.Batch{From: from, Envelopes: o.collect(first)}
			from = ""
			o.traffic.countBatch(batch)
			if err := send(batch); err != nil {
				return err
			}
		}
	}
}

// collect returns first and the messages queued behind it.
func (o *outbox) collect(first *peerpb.Envelope) []*peerpb.Envelope {
	batch := []*peerpb.Envelope{first}
	for len(batch) < maxBatch {
		select {
		case next := <-o.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}
