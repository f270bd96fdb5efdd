use bytes::{Bytes, BytesMut};
use displaydoc::Display;

const LARGE: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum Broken {
    /// a piece has more than 1 MiB; the worker must send smaller ones
    Large,
    /// the worker resumed at piece {got} where {want} was due; it must not be marked as able to resume
    Gap { got: u64, want: u64 },
    /// a piece without a numeric id came on a stream to be resumed; the worker must number its pieces
    NoId,
}

/// Cuts a stream of server-sent events into whole pieces and keeps their count.
#[derive(Debug, Default)]
pub struct Pieces {
    buf: BytesMut,
    at: usize,
    line: usize,
    last: Option<u64>,
    resumed: bool,
}

impl Pieces {
    /// The id of the last piece that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// A new connection to a worker follows: the half piece of the old one goes.
    pub fn resume(&mut self) {
        self.buf.clear();
        self.at = 0;
        self.line = 0;
        self.resumed = true;
    }

    /// Whether the stream stands between two pieces.
    pub fn clean(&self) -> bool {
        self.buf.is_empty()
    }

    /// Takes bytes in and gives the whole pieces that may go downstream.
    pub fn feed(&mut self, b: &[u8]) -> Result<Vec<Bytes>, Broken> {
        self.buf.extend_from_slice(b);
        let mut out = Vec::new();
        while let Some(i) = self.buf[self.at..].iter().position(|c| *c == b'\n') {
            let end = self.at + i;
            let l = &self.buf[self.line..end];
            let blank = l.is_empty() || l == b"\r";
            self.at = end + 1;
            self.line = self.at;
            if blank {
                let p = self.buf.split_to(self.at).freeze();
                self.at = 0;
                self.line = 0;
                if let Some(p) = self.pass(p)? {
                    out.push(p);
                }
            }
        }
        self.at = self.buf.len();
        if self.buf.len() > LARGE { Err(Broken::Large) } else { Ok(out) }
    }

    fn pass(&mut self, p: Bytes) -> Result<Option<Bytes>, Broken> {
        let id = id(&p);
        let data = p.iter().any(|c| !matches!(c, b'\n' | b'\r')) && !p.starts_with(b":");
        if !data {
            return Ok(Some(p));
        }
        let Some(n) = id else {
            return if self.resumed { Err(Broken::NoId) } else { Ok(Some(p)) };
        };
        if self.resumed {
            let want = self.last.map_or(n, |l| l + 1);
            if n < want {
                return Ok(None);
            }
            if n > want {
                return Err(Broken::Gap { got: n, want });
            }
            self.resumed = false;
        }
        self.last = Some(n);
        Ok(Some(p))
    }
}

fn id(p: &[u8]) -> Option<u64> {
    p.split(|c| *c == b'\n').rev().find_map(|l| {
        let v = l.strip_prefix(b"id:")?;
        std::str::from_utf8(v).ok()?.trim().parse().ok()
    })
}
