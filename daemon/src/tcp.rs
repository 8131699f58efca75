//! A TCP connection that tolerates short reads and writes.
//!
//! The runtime treats a read that fills only a part of its buffer as the last of the available data, and a
//! partial write as a full socket, as epoll(7) allows, and then waits for the next event. A call that was
//! short for another reason would leave a request unread, or half written, for good. Here a socket counts as
//! empty or full only if it reports `EAGAIN`.

use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection, opened by either side.
#[derive(Debug)]
pub(crate) struct TcpConnection(TcpStream);

impl TcpConnection {
    /// Wraps an established connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        TcpConnection(stream)
    }

    /// Calls `write` until the socket accepts some bytes or fails.
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

/// Whether a call only has to be repeated, at once or when the socket is ready.
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
