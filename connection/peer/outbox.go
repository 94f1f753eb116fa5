package peer

import (
	"context"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

const (
	// outboxLength is the number of messages that may wait for one stream.
	outboxLength = 1024
	// batchLength is the largest number of messages in one batch.
	batchLength = 256
)

// outbox collects the messages for one stream into batches.
type outbox struct {
	queue   chan *peerpb.Envelope
	traffic *Traffic
}

func newOutbox(traffic *Traffic) *outbox {
	return &outbox{queue: make(chan *peerpb.Envelope, outboxLength), traffic: traffic}
}

// put queues a message. It reports false if the outbox is full.
func (o *outbox) put(message *peerpb.Envelope) bool {
	select {
	case o.queue <- message:
		return true
	default:
		return false
	}
}

// run sends batches until ctx ends or send fails. from is named in the first
// batch.
func (o *outbox) run(ctx context.Context, from string, send func(*peerpb.Batch) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-o.queue:
			batch := &peerpb.Batch{From: from, Envelopes: o.collect(first)}
			from = ""
			o.traffic.note(batch)
			if err := send(batch); err != nil {
				return err
			}
		}
	}
}

// collect returns first and the messages that wait behind it.
func (o *outbox) collect(first *peerpb.Envelope) []*peerpb.Envelope {
	batch := []*peerpb.Envelope{first}
	for len(batch) < batchLength {
		select {
		case next := <-o.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}
