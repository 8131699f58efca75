//! A client's socket: read ahead while a request is open, so that a client that has gone is noticed whatever
//! it left unread before its end, and closed in such an order that no answer on its way is destroyed.

use std::future::{poll_fn, Future};
use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Sleep};
use tokio_io_timeout::TimeoutStream;

use crate::tcp::TcpConnection;

/// So much is kept of what a client sends while its request is open. Clients send one request at a time, so
/// whoever sends more is no such client: the rest is read, as its end may lie behind it, and dropped.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Read at once, and so often in one turn.
const READ_CHUNK_BYTES: usize = 16 << 10;
const MAX_READS_PER_POLL: usize = 8;
/// After the write side has been closed, what the client still sends is read for so long: a close over unread
/// bytes would reset the connection, and what was written last would go with it.
const CLOSE_DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// So much is read as fast as it comes that the library has not asked for. Who sends more is read on, as the
/// end may lie behind it, one turn in each of these pauses: that empties a socket's memory well within 0.3 s
/// and keeps the machine for others.
const MAX_UNREQUESTED_BYTES: usize = 1 << 20;
const READ_PAUSE: Duration = Duration::from_millis(2);

/// The library's half reads and writes; the connection's own task looks for the client's end.
#[derive(Clone)]
pub(super) struct ClientSocket(Arc<Mutex<Inner>>);

struct Inner {
    stream: Pin<Box<TimeoutStream<TcpConnection>>>,
    /// Read, and not yet handed to the library.
    read_ahead: BytesMut,
    /// How the client ended its sending.
    read_end: Option<ErrorKind>,
    /// Read since the library last asked for more than it was given,
    unrequested_bytes: usize,
    /// and the pause before more of it is read.
    read_pause: Option<Pin<Box<Sleep>>>,
    /// More came than is kept.
    has_dropped_bytes: bool,
}

impl ClientSocket {
    /// A connection whose client may take nothing for so long.
    pub(super) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        let mut stream = TimeoutStream::new(TcpConnection::new(stream));
        stream.set_write_timeout(Some(write_timeout));
        let (stream, read_ahead) = (Box::pin(stream), BytesMut::new());
        let inner = Inner {
            stream,
            read_ahead,
            read_end: None,
            unrequested_bytes: 0,
            read_pause: None,
            has_dropped_bytes: false,
        };
        ClientSocket(Arc::new(Mutex::new(inner)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resolves once the client has ended its sending, well or not, however much it sent before.
    async fn wait_for_client_end(&self) {
        poll_fn(|cx| self.poll_client_end(cx)).await
    }

    /// Reads ahead; ready once the client has ended its sending. To be asked only in the task that also
    /// drives the library, and after it, as a socket wakes one task; and only once the library has all of the
    /// request, as what is read here may be dropped.
    pub(super) fn poll_client_end(&self, cx: &mut Context<'_>) -> Poll<()> {
        let inner = &mut *self.lock();
        for reads in 0..MAX_READS_PER_POLL {
            if inner.read_end.is_some() {
                return Poll::Ready(());
            }
            if let Some(read_pause) = &mut inner.read_pause {
                ready!(read_pause.as_mut().poll(cx));
                inner.read_pause = None;
            }
            let mut bytes = [0; READ_CHUNK_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            match inner.stream.as_mut().poll_read(cx, &mut read) {
                Poll::Pending => {
                    if reads > 0 {
                        // The library may want what has come.
                        cx.waker().wake_by_ref();
                    }
                    return Poll::Pending;
                }
                Poll::Ready(Ok(())) if read.filled().is_empty() => {
                    inner.read_end = Some(ErrorKind::UnexpectedEof);
                }
                Poll::Ready(Ok(())) => {
                    inner.unrequested_bytes += read.filled().len();
                    let kept = read
                        .filled()
                        .len()
                        .min(MAX_READ_AHEAD_BYTES - inner.read_ahead.len().min(MAX_READ_AHEAD_BYTES));
                    inner.read_ahead.extend_from_slice(&read.filled()[..kept]);
                    inner.has_dropped_bytes |= kept < read.filled().len();
                }
                Poll::Ready(Err(e)) => inner.read_end = Some(e.kind()),
            }
        }
        if inner.unrequested_bytes >= MAX_UNREQUESTED_BYTES {
            inner.read_pause = Some(Box::pin(sleep(READ_PAUSE)));
        }
        // The library may want what has come, and there may be more.
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Whether more has come than is kept, so that nothing more can be read here.
    pub(super) fn has_dropped_bytes(&self) -> bool {
        self.lock().has_dropped_bytes
    }

    /// Closes the write side, reads what still comes within bounds, and closes the rest by its drop.
    pub(super) async fn close(mut self) {
        if self.lock().read_end.is_some() {
            return;
        }
        let drain = async {
            // It can only fail on a connection that is no more.
            let _ = self.shutdown().await;
            self.wait_for_client_end().await;
        };
        let _ = timeout(CLOSE_DRAIN_TIMEOUT, drain).await;
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let inner = &mut *self.lock();
        if !inner.read_ahead.is_empty() {
            let copied_bytes = inner.read_ahead.len().min(buf.remaining());
            buf.put_slice(&inner.read_ahead[..copied_bytes]);
            inner.read_ahead.advance(copied_bytes);
            return Poll::Ready(Ok(()));
        }
        match inner.read_end {
            Some(ErrorKind::UnexpectedEof) => Poll::Ready(Ok(())),
            Some(kind) => Poll::Ready(Err(kind.into())),
            // What was dropped leaves a gap: nothing behind it can be read.
            None if inner.has_dropped_bytes => Poll::Ready(Ok(())),
            None => {
                inner.unrequested_bytes = 0;
                inner.stream.as_mut().poll_read(cx, buf)
            }
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.lock().stream.as_mut().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.lock().stream.as_mut().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.lock().stream.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.lock().stream.as_mut().poll_shutdown(cx)
    }
}
