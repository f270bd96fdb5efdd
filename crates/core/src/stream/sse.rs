//! Streams of server-sent events, split into whole events. Source: WHATWG HTML, §9.2 "Server-sent
//! events".
//!
//! The client receives whole events only, so that a stream that breaks can be resumed at another
//! worker exactly after the last one. For that, the worker numbers its events without gaps in the
//! `id` field.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// The largest event, in bytes.
const MAX_EVENT_SIZE: usize = 1 << 20;

/// The byte order mark that may begin a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Why a stream can't go on.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum StreamError {
    /// an event has more than 1 MiB; the worker must send smaller ones
    EventTooLarge,
    /// event {received} came where {expected} was due; the worker must number its events without gaps
    EventGap {
        /// The number of the event.
        received: u64,
        /// The number that was due.
        expected: u64,
    },
    /// an event without a number came where a stream is resumed; the worker must number its events
    MissingEventId,
}

/// The `id` field of an event, as far as it was read.
#[derive(Clone, Copy, Debug, Default)]
enum EventId {
    /// The event has no such field.
    #[default]
    Absent,
    /// The field is not a decimal number.
    Invalid,
    Number(u64),
}

impl EventId {
    fn parse(value: &[u8]) -> Self {
        if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
            return EventId::Invalid;
        }
        let number = std::str::from_utf8(value).ok().and_then(|digits| digits.parse().ok());
        number.map_or(EventId::Invalid, EventId::Number)
    }
}

/// Splits a stream of server-sent events into whole events and keeps track of their numbers.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// The bytes of the event that is not complete yet.
    buffer: BytesMut,
    /// How many bytes of `buffer` were scanned.
    scanned: usize,
    /// Where in `buffer` the current line begins; at most `scanned`.
    line_start: usize,
    /// The last line ended with CR, so an LF that follows belongs to its end.
    ended_with_cr: bool,
    /// The last event was not forwarded, so the rest of its line end is not either.
    dropped_last: bool,
    /// The `id` field of the current event.
    id: EventId,
    /// The current event has a line that is no comment.
    has_fields: bool,
    /// No event of this connection was completed yet.
    is_first: bool,
    /// The number of the last event that was forwarded.
    last_id: Option<u64>,
    /// The match allows to resume the stream, so the numbers of events are checked.
    is_resumable: bool,
    /// An event without a number was forwarded after `last_id`.
    has_unnumbered: bool,
    /// The stream was resumed, and events up to `last_id` may be repeated.
    is_resuming: bool,
}

impl EventSplitter {
    /// A splitter for the first connection of a call. `last_event_id` is the event that the client
    /// received last of an earlier call.
    #[must_use]
    pub fn new(is_resumable: bool, last_event_id: Option<u64>) -> Self {
        let last_id = last_event_id.filter(|_| is_resumable);
        EventSplitter {
            is_resumable,
            last_id,
            is_resuming: last_id.is_some(),
            is_first: true,
            ..EventSplitter::default()
        }
    }

    /// The event after which the stream can be resumed elsewhere exactly; `Some(None)` is its
    /// beginning, `None` that it can't be resumed.
    #[must_use]
    pub fn resume_point(&self) -> Option<Option<u64>> {
        (self.is_resumable && !self.has_unnumbered).then_some(self.last_id)
    }

    /// A connection to another worker follows: the incomplete event of the old one is dropped.
    pub fn resume(&mut self) {
        *self = EventSplitter {
            is_resumable: self.is_resumable,
            last_id: self.last_id,
            is_resuming: true,
            is_first: true,
            ..EventSplitter::default()
        };
    }

    /// Whether no event is incomplete.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds bytes from the worker and returns the whole events to forward.
    ///
    /// # Errors
    /// Fails if an event is too large, or if the stream is resumable and its numbers have a gap.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Bytes>, StreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if byte == b'\n' && std::mem::take(&mut self.ended_with_cr) {
                self.finish_line_end(&mut events);
                continue;
            }
            self.ended_with_cr = byte == b'\r';
            if byte != b'\n' && byte != b'\r' {
                continue;
            }
            let is_blank = self.read_line();
            self.line_start = self.scanned;
            if is_blank {
                self.finish_event(&mut events)?;
            }
        }
        if self.buffer.len() > MAX_EVENT_SIZE { Err(StreamError::EventTooLarge) } else { Ok(events) }
    }

    /// An LF after a CR: if the CR completed an event, the LF is forwarded or dropped like it.
    fn finish_line_end(&mut self, events: &mut Vec<Bytes>) {
        self.line_start = self.scanned;
        if self.scanned == 1 {
            let line_end = self.split_scanned();
            if !self.dropped_last {
                events.push(line_end);
            }
        }
    }

    /// A blank line completed an event.
    fn finish_event(&mut self, events: &mut Vec<Bytes>) -> Result<(), StreamError> {
        let mut event = self.split_scanned();
        // The client has already received the byte order mark of the first connection.
        if std::mem::take(&mut self.is_first) && self.is_resuming && event.starts_with(BYTE_ORDER_MARK) {
            event.advance(BYTE_ORDER_MARK.len());
        }
        self.dropped_last = !self.accept_event()?;
        if !self.dropped_last {
            events.push(event);
        }
        Ok(())
    }

    fn split_scanned(&mut self) -> Bytes {
        let event = self.buffer.split_to(self.scanned).freeze();
        self.scanned = 0;
        self.line_start = 0;
        event
    }

    /// Reads the line that just ended; true for the blank line that completes an event.
    fn read_line(&mut self) -> bool {
        let mut line = &self.buffer[self.line_start..self.scanned - 1];
        if self.is_first && self.line_start == 0 {
            line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        }
        if line.is_empty() {
            return true;
        }
        self.has_fields |= line[0] != b':';
        let (field, value) = match line.iter().position(|byte| *byte == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &line[line.len()..]),
        };
        // An id with a NUL is ignored, as the standard says.
        if field == b"id" && !value.contains(&0) {
            self.id = EventId::parse(value.strip_prefix(b" ").unwrap_or(value));
        }
        false
    }

    /// Whether the event that was just completed is forwarded: not if the client already has it.
    fn accept_event(&mut self) -> Result<bool, StreamError> {
        let id = std::mem::take(&mut self.id);
        if !std::mem::take(&mut self.has_fields) || !self.is_resumable {
            return Ok(true);
        }
        let EventId::Number(number) = id else {
            self.has_unnumbered = true;
            return if self.is_resuming { Err(StreamError::MissingEventId) } else { Ok(true) };
        };
        let expected = self.last_id.map_or(number, |last| last.saturating_add(1));
        if number < expected && self.is_resuming {
            return Ok(false);
        }
        if number != expected {
            return Err(StreamError::EventGap { received: number, expected });
        }
        self.is_resuming = false;
        self.has_unnumbered = false;
        self.last_id = Some(number);
        Ok(true)
    }
}
