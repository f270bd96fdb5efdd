//! Streams of server-sent events, cut into whole pieces.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

const LARGE: usize = 1 << 20;
const BOM: &[u8] = b"\xef\xbb\xbf";

/// Why a stream can't go on.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum StreamError {
    /// a piece has more than 1 MiB; the worker must send smaller ones
    EventTooLarge,
    /// piece {got} came where {want} was due; the worker must number its pieces without gaps
    EventGap { got: u64, want: u64 },
    /// a piece without a number came where a stream goes on; the worker must number its pieces
    MissingEventId,
}

/// Cuts a stream of server-sent events into whole pieces and keeps their count.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    at: usize,
    line: usize,
    /// A line ended with CR, so an LF that follows belongs to it.
    cr: bool,
    /// The piece before was not passed on, nor is the rest of its line end.
    dropped: bool,
    id: Option<Option<u64>>,
    data: bool,
    /// Nothing of this connection was cut yet.
    first: bool,
    last: Option<u64>,
    /// Pieces are counted, since the match allows to go on elsewhere.
    strict: bool,
    /// Something without a number went downstream after the last number.
    loose: bool,
    resumed: bool,
}

impl EventSplitter {
    /// `after` is the piece that the downstream itself had last.
    pub fn new(strict: bool, after: Option<u64>) -> Self {
        let last = after.filter(|_| strict);
        EventSplitter { strict, last, resumed: last.is_some(), first: true, ..EventSplitter::default() }
    }

    /// After which piece the stream may go on elsewhere, exactly; `Some(None)` is its beginning.
    pub fn resume_point(&self) -> Option<Option<u64>> {
        (self.strict && !self.loose).then_some(self.last)
    }

    /// A new connection to a worker follows: the half piece of the old one goes.
    pub fn resume(&mut self) {
        let last = self.last;
        *self = EventSplitter { strict: self.strict, last, resumed: true, first: true, ..EventSplitter::default() };
    }

    /// Whether the stream stands between two pieces.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }

    /// Takes bytes in and gives the whole pieces that may go downstream.
    pub fn push(&mut self, b: &[u8]) -> Result<Vec<Bytes>, StreamError> {
        self.buf.extend_from_slice(b);
        let mut out = Vec::new();
        while let Some(c) = self.buf.get(self.at).copied() {
            self.at += 1;
            if c == b'\n' && std::mem::take(&mut self.cr) {
                self.line = self.at;
                if self.at == 1 {
                    let p = self.cut();
                    if !self.dropped {
                        out.push(p);
                    }
                }
                continue;
            }
            self.cr = c == b'\r';
            if c != b'\n' && c != b'\r' {
                continue;
            }
            let blank = self.read_line();
            self.line = self.at;
            if blank {
                let mut p = self.cut();
                if std::mem::take(&mut self.first) && self.resumed && p.starts_with(BOM) {
                    p.advance(BOM.len());
                }
                self.dropped = !self.passes()?;
                if !self.dropped {
                    out.push(p);
                }
            }
        }
        if self.buf.len() > LARGE { Err(StreamError::EventTooLarge) } else { Ok(out) }
    }

    fn cut(&mut self) -> Bytes {
        let p = self.buf.split_to(self.at).freeze();
        self.at = 0;
        self.line = 0;
        p
    }

    /// Looks at the line that just ended; true for the blank one that ends a piece.
    fn read_line(&mut self) -> bool {
        let mut l = &self.buf[self.line..self.at - 1];
        if self.first && self.line == 0 {
            l = l.strip_prefix(BOM).unwrap_or(l);
        }
        if l.is_empty() {
            return true;
        }
        self.data |= l[0] != b':';
        let (k, v) = match l.iter().position(|c| *c == b':') {
            Some(i) => (&l[..i], &l[i + 1..]),
            None => (l, &l[l.len()..]),
        };
        if k == b"id" && !v.contains(&0) {
            let v = v.strip_prefix(b" ").unwrap_or(v);
            let num = !v.is_empty() && v.iter().all(u8::is_ascii_digit);
            self.id = Some(std::str::from_utf8(v).ok().filter(|_| num).and_then(|s| s.parse().ok()));
        }
        false
    }

    /// Whether the piece that just ended goes downstream.
    fn passes(&mut self) -> Result<bool, StreamError> {
        let id = std::mem::take(&mut self.id);
        if !std::mem::take(&mut self.data) || !self.strict {
            return Ok(true);
        }
        let Some(Some(n)) = id else {
            self.loose = true;
            return if self.resumed { Err(StreamError::MissingEventId) } else { Ok(true) };
        };
        let want = self.last.map_or(n, |l| l.saturating_add(1));
        if n < want && self.resumed {
            return Ok(false);
        }
        if n != want {
            return Err(StreamError::EventGap { got: n, want });
        }
        self.resumed = false;
        self.loose = false;
        self.last = Some(n);
        Ok(true)
    }
}
