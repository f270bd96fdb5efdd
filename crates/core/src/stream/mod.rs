//! Streamed answers.

mod sse;

pub use sse::{EventSplitter, StreamError};
