//! The splitting of streams of server-sent events into complete events. Source: WHATWG HTML, §9.2
//! "Server-sent events".
//!
//! The client receives complete events only, so that a broken stream can be resumed at another worker
//! exactly after the last forwarded event. This requires that the workers number the events of a stream alike, with
//! rising numbers in the `id` field.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// The maximum size of an event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The UTF-8 byte order mark that may begin a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Why a stream is invalid and must be aborted.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum StreamError {
    /// an event of a resumed stream exceeds 1 MiB; the worker must send smaller events
    EventTooLarge,
    /// received event {received}, expected event {expected}; the numbers of a worker's events must rise, without gaps
    /// if they began so, and another worker must continue with the next event
    UnexpectedEvent {
        /// The number of the received event.
        received: u64,
        /// The number after that of the last forwarded event.
        expected: u64,
    },
    /// received an event without a number on a resumed stream; the worker must number its events
    MissingEventId,
}

/// The `id` field of an event.
#[derive(Clone, Copy, Debug, Default)]
enum EventId {
    /// The event has no `id` field so far.
    #[default]
    Absent,
    /// The value is not a decimal number.
    Invalid,
    /// The value is this number.
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

/// How the workers number the events of a stream, by the numbers so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Numbering {
    /// Fewer than two events are known.
    #[default]
    Unknown,
    /// Each event has the number after that of the event before: a gap is a missing event.
    Consecutive,
    /// The numbers rise by more than one.
    WithGaps,
}

/// Splits a stream of server-sent events into complete events and tracks their numbers.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// The bytes of the incomplete event.
    buffer: BytesMut,
    /// The number of bytes of `buffer` that were scanned.
    scanned: usize,
    /// The index in `buffer` at which the current line begins; at most `scanned`.
    line_start: usize,
    /// True if the last line ended with CR, so that a following LF belongs to the same line end.
    is_after_cr: bool,
    /// True if the last event was dropped, so that the rest of its line end must be dropped too.
    is_last_dropped: bool,
    /// The `id` field of the current event.
    id: EventId,
    /// True if the current event has a line that is not a comment.
    has_fields: bool,
    /// True until the first event of this connection is complete.
    is_first: bool,
    /// The number of the last forwarded event.
    last_id: Option<u64>,
    /// True once an event was too large to buffer: the rest of the stream is forwarded as it arrives.
    is_unsplit: bool,
    numbering: Numbering,
    /// True if the events up to `last_id` were forwarded from another worker's response.
    is_continuation: bool,
    /// True if the match allows resuming the stream, so that event numbers are checked.
    is_resumable: bool,
    /// True if an event without a number was forwarded after `last_id`.
    has_unnumbered: bool,
    /// True after a resume until an event after `last_id` arrives; events up to `last_id` may be repeated
    /// and are dropped.
    is_resuming: bool,
}

impl EventSplitter {
    /// Creates a splitter for the first connection of a call. `last_event_id` is the number of the last
    /// event that the client received in an earlier call.
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

    /// Returns the number of the event after which the stream can be resumed at another worker.
    /// `Some(None)` is the beginning of the stream; `None` means that the stream can't be resumed.
    #[must_use]
    pub fn resume_point(&self) -> Option<Option<u64>> {
        (self.is_resumable && !self.has_unnumbered && !self.is_unsplit).then_some(self.last_id)
    }

    /// Prepares for a connection to another worker, and drops the incomplete event of the old connection.
    pub fn resume(&mut self) {
        *self = EventSplitter {
            is_resumable: self.is_resumable,
            last_id: self.last_id,
            numbering: self.numbering,
            is_continuation: true,
            is_resuming: true,
            is_first: true,
            ..EventSplitter::default()
        };
    }

    /// Whether all received events are complete.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds bytes from the worker and returns the complete events to forward. From an event on that is too large to
    /// buffer, returns all bytes as they arrive.
    ///
    /// # Errors
    /// Fails if an event of a resumed stream is too large to tell whether the client has it, or if the stream is resumable and a number does not rise or shows that
    /// an event is missing.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Bytes>, StreamError> {
        if self.is_unsplit {
            return Ok(vec![Bytes::copy_from_slice(bytes)]);
        }
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if byte == b'\n' && std::mem::take(&mut self.is_after_cr) {
                self.finish_line_end(&mut events);
                continue;
            }
            self.is_after_cr = byte == b'\r';
            if byte != b'\n' && byte != b'\r' {
                continue;
            }
            let is_blank = self.read_line();
            self.line_start = self.scanned;
            if is_blank {
                self.finish_event(&mut events)?;
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            events.push(self.stop_splitting()?);
        }
        Ok(events)
    }

    /// Forwards the incomplete event as far as it was received, and all bytes after it.
    fn stop_splitting(&mut self) -> Result<Bytes, StreamError> {
        if self.is_resuming {
            return Err(StreamError::EventTooLarge);
        }
        self.is_unsplit = true;
        Ok(self.buffer.split().freeze())
    }

    /// Handles an LF after a CR. If the CR completed an event, the LF is forwarded or dropped like the
    /// event.
    fn finish_line_end(&mut self, events: &mut Vec<Bytes>) {
        self.line_start = self.scanned;
        if self.scanned == 1 {
            let line_end = self.split_scanned();
            if !self.is_last_dropped {
                events.push(line_end);
            }
        }
    }

    /// Handles a blank line, which completes an event.
    fn finish_event(&mut self, events: &mut Vec<Bytes>) -> Result<(), StreamError> {
        let mut event = self.split_scanned();
        // The client has already received the byte order mark of the first connection.
        if std::mem::take(&mut self.is_first) && self.is_resuming && event.starts_with(BYTE_ORDER_MARK) {
            event.advance(BYTE_ORDER_MARK.len());
        }
        self.is_last_dropped = !self.accept_event()?;
        if !self.is_last_dropped {
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

    /// Reads the line that just ended. Returns true for the blank line that completes an event.
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
        // The standard requires that an `id` with a NUL is ignored.
        if field == b"id" && !value.contains(&0) {
            self.id = EventId::parse(value.strip_prefix(b" ").unwrap_or(value));
        }
        false
    }

    /// Whether the event that was just completed is to be forwarded. An event that the client already has
    /// is dropped.
    fn accept_event(&mut self) -> Result<bool, StreamError> {
        let id = std::mem::take(&mut self.id);
        if !std::mem::take(&mut self.has_fields) || !self.is_resumable {
            return Ok(true);
        }
        let EventId::Number(number) = id else {
            self.has_unnumbered = true;
            return if self.is_resuming { Err(StreamError::MissingEventId) } else { Ok(true) };
        };
        if let Some(last_id) = self.last_id {
            let expected = last_id.saturating_add(1);
            if number < expected && self.is_resuming {
                return Ok(false);
            }
            if number < expected || (number > expected && !self.may_have_gap()) {
                return Err(StreamError::UnexpectedEvent { received: number, expected });
            }
            self.record_numbering(number > expected);
        }
        self.is_resuming = false;
        self.has_unnumbered = false;
        self.last_id = Some(number);
        Ok(true)
    }

    /// Whether the next event may leave a gap: its worker numbers with gaps, as far as is known. A worker that
    /// continues the stream of another one must begin with the next event while that is not known.
    fn may_have_gap(&self) -> bool {
        match self.numbering {
            Numbering::Unknown => !(self.is_continuation && self.is_resuming),
            Numbering::Consecutive => false,
            Numbering::WithGaps => true,
        }
    }

    fn record_numbering(&mut self, has_gap: bool) {
        self.numbering = match self.numbering {
            _ if has_gap => Numbering::WithGaps,
            Numbering::Unknown => Numbering::Consecutive,
            known => known,
        };
    }
}
