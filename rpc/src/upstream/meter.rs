//! Counts the bytes that a socket has accepted. If a connection has written nothing since the last byte of a
//! stream was queued, that byte has not been written; nothing more is known outside of the HTTP/2 library.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that a socket has accepted.
#[derive(Clone, Debug, Default)]
pub(super) struct WrittenBytes(Arc<AtomicU64>);

impl WrittenBytes {
    /// Whether both count the bytes of the same socket.
    pub(super) fn is_same_socket(&self, other: &WrittenBytes) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    pub(super) fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A socket that counts the bytes that are written to it.
#[derive(Debug)]
pub(super) struct CountingSocket<S> {
    inner: S,
    written_bytes: WrittenBytes,
}

impl<S> CountingSocket<S> {
    pub(super) fn new(inner: S) -> (Self, WrittenBytes) {
        let written_bytes = WrittenBytes::default();
        (CountingSocket { inner, written_bytes: written_bytes.clone() }, written_bytes)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingSocket<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &written {
            self.written_bytes.0.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(bytes)) = &written {
            self.written_bytes.0.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
