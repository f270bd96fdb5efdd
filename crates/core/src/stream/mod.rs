//! The parsing of streamed responses.

mod sse;

pub use sse::{EventSplitter, StreamError};
