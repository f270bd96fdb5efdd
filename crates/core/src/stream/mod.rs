//! Streamed responses.

mod sse;

pub use sse::{EventSplitter, StreamError};
