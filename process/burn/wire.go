package burn

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// ToWire returns record as the message that routers exchange.
func ToWire(record Record) *peerpb.BurnRecord {
	message := &peerpb.BurnRecord{
		Host:          record.Host,
		Boot:          record.Incarnation,
		Zone:          record.Zone,
		StartedUnixMs: record.Started.UnixMilli(),
		AtUnixMs:      record.At.UnixMilli(),
		Final:         record.Final,
	}
	for i := range record.Kinds {
		message.Kinds = append(message.Kinds, kindToWire(&record.Kinds[i]))
	}
	return message
}

func kindToWire(kind *KindRecord) *peerpb.BurnKind {
	message := &peerpb.BurnKind{Kind: kind.Kind, Total: countsToWire(kind.Total)}
	for i, minute := range kind.Minutes {
		if i == 0 {
			message.FirstMinute = minute.Unix
		}
		message.Minutes = append(message.Minutes, &peerpb.BurnMinute{
			After:  uint32(minute.Unix - message.FirstMinute),
			Counts: countsToWire(minute.Counts),
		})
	}
	return message
}

func countsToWire(c Counts) *peerpb.BurnCounts {
	return &peerpb.BurnCounts{InTime: c.InTime, Late: c.Late, NotRun: c.NotRun, Failed: c.Failed, Unknown: c.Unknown}
}

// FromWire returns the record in a message. Missing numbers and times are 0 (1970).
func FromWire(message *peerpb.BurnRecord) Record {
	record := Record{
		Host:        message.GetHost(),
		Incarnation: message.GetBoot(),
		Zone:        message.GetZone(),
		Started:     time.UnixMilli(message.GetStartedUnixMs()).UTC(),
		At:          time.UnixMilli(message.GetAtUnixMs()).UTC(),
		Final:       message.GetFinal(),
	}
	for _, kind := range message.GetKinds() {
		record.Kinds = append(record.Kinds, kindFromWire(kind))
	}
	return record
}

func kindFromWire(message *peerpb.BurnKind) KindRecord {
	kind := KindRecord{Kind: message.GetKind(), Total: countsFromWire(message.GetTotal())}
	for _, minute := range message.GetMinutes() {
		kind.Minutes = append(kind.Minutes, Minute{
			Unix:   message.GetFirstMinute() + int64(minute.GetAfter()),
			Counts: countsFromWire(minute.GetCounts()),
		})
	}
	return kind
}

func countsFromWire(c *peerpb.BurnCounts) Counts {
	return Counts{InTime: c.GetInTime(), Late: c.GetLate(), NotRun: c.GetNotRun(), Failed: c.GetFailed(), Unknown: c.GetUnknown()}
}
