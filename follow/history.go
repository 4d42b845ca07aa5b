package follow

import "github.com/cairnworks/cairnworks/port"

// maxHistoryBytes limits the records that an instance keeps for others. It exceeds the largest
// configuration that the store accepts.
const maxHistoryBytes = 8 << 20

// history holds the records of a topic that changed anything, so that other instances that miss them
// need not read the store. Of several records with the same key, it holds the newest.
type history struct {
	// from is the offset from which no record is missing.
	from    uint64
	records []port.KeyedRecord
	size    int
}

// reset drops all records. Records before from are unknown.
func (h *history) reset(from uint64) { *h = history{from: from} }

// add appends a record that changed something, and drops the oldest records above the size limit.
func (h *history) add(record port.KeyedRecord) {
	for n, older := range h.records {
		if older.Key == record.Key {
			h.remove(n)
			break
		}
	}
	h.records = append(h.records, record)
	h.size += record.Size()
	for h.size > maxHistoryBytes {
		h.from = h.records[0].Offset + 1
		h.remove(0)
	}
}

func (h *history) remove(n int) {
	h.size -= h.records[n].Size()
	// The slice is shared with notes, so it is copied rather than shifted in place.
	h.records = append(h.records[:n:n], h.records[n+1:]...)
}

// since returns the records from an offset on. ok is false if some are unknown.
func (h *history) since(offset uint64) (records []port.KeyedRecord, ok bool) {
	if offset < h.from {
		return nil, false
	}
	for n, record := range h.records {
		if record.Offset >= offset {
			return h.records[n:len(h.records):len(h.records)], true
		}
	}
	return nil, true
}

// sizes returns the size in bytes of all records together and of the largest one.
func sizes(records []port.KeyedRecord) (total, largest int) {
	for _, record := range records {
		total += record.Size()
		largest = max(largest, record.Size())
	}
	return total, largest
}
