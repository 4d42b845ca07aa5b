// Package eventstream finds the ends of events in a text/event-stream, as the WHATWG HTML standard
// defines it (section 9.2.6): an event ends with a blank line, and a line with LF, CR or CRLF.
//
// Load pattern: engines break off streams at any byte, at times by an orderly close of a connection whose
// answer has neither a length nor chunks.
//
// Without it: such a stream looks like one that has ended.
package eventstream

import "strings"

// Scanner follows a stream of events. Its zero value is at the start of a stream.
type Scanner struct {
	events int
	// inLine is set inside a line, inEvent inside an event. afterCR is set after a CR, with which an LF
	// forms one end of a line.
	inLine, inEvent, afterCR bool
}

// Scan reads the next bytes of the stream. It returns the number of bytes up to the last end of an event
// in them, or 0 if no event ends there.
func (s *Scanner) Scan(data []byte) (end int) {
	for i, b := range data {
		completesCRLF := b == '\n' && s.afterCR
		s.afterCR = b == '\r'
		switch {
		case completesCRLF || (b == '\n' || b == '\r') && !s.inLine:
			if !completesCRLF && s.inEvent {
				s.inEvent = false
				s.events++
			}
			if !s.inEvent {
				end = i + 1
			}
		case b == '\n' || b == '\r':
			s.inLine = false
		default:
			s.inLine, s.inEvent = true, true
		}
	}
	return end
}

// InEvent reports whether the stream has begun an event that has not ended.
func (s *Scanner) InEvent() bool { return s.inEvent }

// Events returns the number of events that have ended, including blocks of comments.
func (s *Scanner) Events() int { return s.events }

// LastID returns the last ID in complete events. ok is false if there is none.
func LastID(events []byte) (id string, ok bool) {
	for rest := string(events); ; {
		start := strings.LastIndexAny(rest, "\r\n")
		if value, found := strings.CutPrefix(rest[start+1:], "id:"); found {
			return strings.TrimSpace(value), true
		}
		if start < 0 {
			return "", false
		}
		rest = rest[:start]
	}
}
