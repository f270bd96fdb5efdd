//! A socket whose reads, writes and close are reported to an observer.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// An observer of the reads, writes and close of a socket.
pub trait SocketObserver: Unpin {
    /// Called after `bytes` were read; 0 at the end of the stream.
    fn after_read(&self, _bytes: usize) {}

    /// Called before bytes are written; an error fails the write and nothing is written.
    fn before_write(&self) -> Result<()> {
        Ok(())
    }

    /// Called before the socket is closed.
    fn before_close(&self) {}
}

/// A socket with its observer.
pub struct ObservedSocket<O: SocketObserver> {
    // Fields drop in this order: the observer is dropped after the socket was closed.
    stream: TcpStream,
    observer: O,
}

impl<O: SocketObserver> ObservedSocket<O> {
    /// Wraps `stream` and reports its operations to `observer`.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        ObservedSocket { stream, observer }
    }
}

impl<O: SocketObserver> Drop for ObservedSocket<O> {
    fn drop(&mut self) {
        self.observer.before_close();
    }
}

impl<O: SocketObserver> AsyncRead for ObservedSocket<O> {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.observer.after_read(buffer.filled().len() - before);
        }
        result
    }
}

impl<O: SocketObserver> AsyncWrite for ObservedSocket<O> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.observer.before_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.observer.before_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
