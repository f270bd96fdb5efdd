use super::filter::still;
use super::send::{Ask, Got, one};
use crate::clock;
use crate::hall::{Counts, Seat, seat};
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyStream;
use hyper::body::Incoming;
use seating::config::OnRevoke;
use seating::stream::Pieces;
use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;
use viz::{Body, Response, header};

const HOP: [&str; 5] = ["connection", "keep-alive", "transfer-encoding", "upgrade", "trailer"];

struct Flow {
    ask: Ask,
    seat: Option<Seat>,
    far: bool,
    body: BodyStream<Incoming>,
    out: VecDeque<Bytes>,
    /// Only streams of events are cut into pieces.
    pieces: Option<Pieces>,
    begun: bool,
    ended: bool,
    cut: bool,
    version: watch::Receiver<Option<u64>>,
    skip: Vec<String>,
}

enum Was {
    Piece(Bytes),
    End,
    Broke,
    Revoked,
}

/// Passes a worker's answer on, piece by piece, as fast as the downstream takes it.
pub fn answer(a: Ask, g: Got) -> Response {
    let (p, b) = g.res.into_parts();
    let sse = p.headers.get(header::CONTENT_TYPE).is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let m = &a.who.m;
    let cut = a.who.tenant.on_revoke.unwrap_or(m.on_revoke) == OnRevoke::Cut;
    let version = a.hall.version.clone();
    let id = a.id.clone();
    let f = Flow {
        pieces: (sse && p.status.is_success()).then(Pieces::default),
        skip: vec![g.seat.at.wid.clone()],
        seat: Some(g.seat),
        far: g.far,
        body: BodyStream::new(b),
        out: VecDeque::new(),
        begun: false,
        ended: false,
        cut,
        version,
        ask: a,
    };
    let s = futures::stream::unfold(Some(f), |f| async move {
        let mut f = f?;
        match f.next().await {
            Some(Ok(b)) => Some((Ok(b), Some(f))),
            Some(Err(e)) => Some((Err(e), None)),
            None => None,
        }
    });
    let mut r = Response::new(Body::from_stream(SyncStream(std::sync::Mutex::new(Box::pin(s)))));
    *r.status_mut() = p.status;
    for (k, v) in &p.headers {
        if !HOP.contains(&k.as_str()) {
            r.headers_mut().append(k, v.clone());
        }
    }
    r.headers_mut().insert("x-ran", header::HeaderValue::from_static("yes"));
    if let Ok(v) = header::HeaderValue::from_str(&id) {
        r.headers_mut().insert("x-call-id", v);
    }
    r
}

type Item = Result<Bytes, std::io::Error>;

struct SyncStream<S>(std::sync::Mutex<std::pin::Pin<Box<S>>>);

impl<S: futures::Stream<Item = Item>> futures::Stream for SyncStream<S> {
    type Item = Item;

    fn poll_next(self: std::pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<Item>> {
        match self.0.lock() {
            Ok(mut g) => g.as_mut().poll_next(cx),
            Err(e) => e.into_inner().as_mut().poll_next(cx),
        }
    }
}

impl Flow {
    async fn next(&mut self) -> Option<Item> {
        loop {
            if let Some(b) = self.out.pop_front() {
                self.begun = true;
                return Some(Ok(b));
            }
            if self.ended {
                return None;
            }
            match self.pull().await {
                Was::Piece(b) => {
                    if self.far {
                        self.ask.hall.counts.far_bytes.fetch_add(b.len() as u64, Ordering::Relaxed);
                    }
                    match &mut self.pieces {
                        None => self.out.push_back(b),
                        Some(p) => match p.feed(&b) {
                            Ok(v) => self.out.extend(v),
                            Err(e) => return Some(Err(self.broken(&e.to_string()))),
                        },
                    }
                }
                Was::End => {
                    if self.pieces.as_ref().is_some_and(|p| !p.clean()) {
                        return Some(Err(self.broken("the worker ended within a piece")));
                    }
                    self.ended = true;
                    self.seat = None;
                    Counts::add(&self.ask.hall.counts.served);
                }
                Was::Revoked => {
                    Counts::add(&self.ask.hall.counts.cut_revoked);
                    return Some(Err(self.broken("the key was withdrawn")));
                }
                Was::Broke => {
                    if let Some(s) = self.seat.take() {
                        s.bad();
                    }
                    if !self.resume().await {
                        return Some(Err(self.broken("the worker broke off")));
                    }
                }
            }
        }
    }

    fn broken(&mut self, why: &str) -> std::io::Error {
        self.ended = true;
        self.seat = None;
        Counts::add(&self.ask.hall.counts.broken);
        tracing::debug!(call = %self.ask.id, why, "an answer broke off");
        std::io::Error::other(why.to_owned())
    }

    async fn pull(&mut self) -> Was {
        let idle = Duration::from_micros(self.ask.who.m.idle);
        let t = tokio::time::sleep(idle);
        tokio::pin!(t);
        loop {
            tokio::select! {
                biased;
                Ok(()) = self.version.changed(), if self.cut => {
                    if self.ask.hall.view.load().plan.key(&self.ask.who.key).is_none() {
                        return Was::Revoked;
                    }
                }
                x = self.body.next() => return match x {
                    None => Was::End,
                    Some(Err(_)) => Was::Broke,
                    Some(Ok(f)) => match f.into_data() {
                        Ok(b) => Was::Piece(b),
                        Err(_) => continue,
                    },
                },
                () = &mut t => return Was::Broke,
            }
        }
    }

    /// Goes on at another worker exactly after the last piece that was passed on.
    async fn resume(&mut self) -> bool {
        let m = self.ask.who.m.clone();
        let h = self.ask.hall.clone();
        let Some(last) = self.pieces.as_ref().filter(|_| m.resume).map(|p| p.last()) else { return false };
        // Nothing to go on from would be a run from the beginning: only where that is safe.
        let anew = last.is_none() && (self.begun || !m.repeat);
        if anew || !h.budget.second() {
            Counts::add(&h.counts.tries_denied);
            return false;
        }
        let due = clock::now() + m.wait;
        let v = h.view.load_full();
        let t = self.ask.who.tenant.clone();
        let Ok(s) = seat(&h, &v, &m, (&t.name, t.weight), self.ask.hash, &self.skip, due).await else { return false };
        if still(&h, &self.ask.who.key).is_err() {
            return false;
        }
        self.skip.push(s.at.wid.clone());
        Counts::add(&h.counts.tries_second);
        let Ok(g) = one(&self.ask, s, last).await else { return false };
        let sse =
            g.res.headers().get(header::CONTENT_TYPE).is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        if !g.res.status().is_success() || !sse {
            return false;
        }
        if let Some(p) = &mut self.pieces {
            p.resume();
        }
        Counts::add(&h.counts.resumed);
        self.body = BodyStream::new(g.res.into_body());
        self.seat = Some(g.seat);
        self.far = g.far;
        true
    }
}
