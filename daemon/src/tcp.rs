//! A TCP connection whose reads and writes may be short.
//!
//! The runtime takes a read that fills only a part of its buffer for the last of what has come, and a write
//! that takes only a part for a full socket, as epoll(7) allows, and then waits for the next event. A call
//! that was short for another reason would leave a request unread, or half written, for good. Here a socket
//! counts as empty or full only where it says so itself (`EAGAIN`).

use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection, by whichever side it was opened.
#[derive(Debug)]
pub(crate) struct TcpConnection(TcpStream);

impl TcpConnection {
    /// Wraps a connection that is up.
    pub(crate) fn new(stream: TcpStream) -> Self {
        TcpConnection(stream)
    }

    /// Writes by `write` until the socket takes something or fails.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if is_retryable(&e) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

/// Whether a call said only that it was to be made once more, when there is something to do or at once.
fn is_retryable(e: &std::io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for TcpConnection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if is_retryable(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for TcpConnection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
