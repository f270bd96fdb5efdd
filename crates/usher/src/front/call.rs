use crate::hall::{Hall, Unit};
use bytes::Bytes;
use seating::base::Us;
use seating::config::{Match, Tenant};
use seating::node::View;
use std::sync::Arc;
use viz::{Method, header::HeaderMap};

/// A call and how far it has come: each filter takes one state and gives the next.
pub struct Call<S> {
    pub hall: Arc<Hall>,
    /// The picture that this call began with.
    pub view: Arc<View>,
    pub id: String,
    pub method: Method,
    pub path: String,
    pub query: Option<String>,
    pub heads: HeaderMap,
    pub at: Us,
    pub st: S,
}

/// Its head was read.
pub struct Heard {
    pub body: viz::Body,
}

/// Its key is a tenant's.
pub struct Keyed {
    pub body: viz::Body,
    pub key: String,
    pub tenant: Arc<Tenant>,
}

/// A match says what becomes of it.
pub struct Matched {
    pub body: viz::Body,
    pub who: Who,
}

/// Its body was read and says which prefix it shares.
pub struct Read {
    pub who: Who,
    pub body: Bytes,
    pub hash: u64,
}

/// Its tenant's quota has room for it.
pub struct Granted {
    pub who: Who,
    pub body: Bytes,
    pub hash: u64,
    pub unit: Unit,
}

#[derive(Clone)]
pub struct Who {
    pub key: String,
    pub tenant: Arc<Tenant>,
    pub m: Arc<Match>,
}

impl<S> Call<S> {
    pub fn with<T>(self, f: impl FnOnce(S) -> T) -> Call<T> {
        Call {
            hall: self.hall,
            view: self.view,
            id: self.id,
            method: self.method,
            path: self.path,
            query: self.query,
            heads: self.heads,
            at: self.at,
            st: f(self.st),
        }
    }
}
