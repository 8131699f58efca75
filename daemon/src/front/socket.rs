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
const AHEAD_MOST: usize = 64 << 10;
/// Read at once, and so often in one turn.
const CHUNK: usize = 16 << 10;
const CHUNKS: usize = 8;
/// After the write side has been closed, what the client still sends is read for so long: a close over unread
/// bytes would reset the connection, and what was written last would go with it.
const DRAIN: Duration = Duration::from_millis(300);
/// So much is read as fast as it comes that the library has not asked for. Who sends more is read on, as the
/// end may lie behind it, one turn in each of these pauses: that empties a socket's memory well within 0.3 s
/// and keeps the machine for others.
const UNASKED_MOST: usize = 1 << 20;
const PAUSE: Duration = Duration::from_millis(2);

/// The library's half reads and writes; the connection's own task looks for the client's end.
#[derive(Clone)]
pub(super) struct Socket(Arc<Mutex<Inner>>);

struct Inner {
    stream: Pin<Box<TimeoutStream<TcpConnection>>>,
    /// Read, and not yet handed to the library.
    ahead: BytesMut,
    /// How the client ended its sending.
    ended: Option<ErrorKind>,
    /// Read since the library last asked for more than it was given,
    unasked: usize,
    /// and the pause before more of it is read.
    pause: Option<Pin<Box<Sleep>>>,
    /// More came than is kept.
    overrun: bool,
}

impl Socket {
    /// A connection whose client may take nothing for so long.
    pub(super) fn new(stream: TcpStream, stall: Duration) -> Self {
        let mut stream = TimeoutStream::new(TcpConnection::new(stream));
        stream.set_write_timeout(Some(stall));
        let (stream, ahead) = (Box::pin(stream), BytesMut::new());
        let inner = Inner { stream, ahead, ended: None, unasked: 0, pause: None, overrun: false };
        Socket(Arc::new(Mutex::new(inner)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resolves once the client has ended its sending, well or not, however much it sent before.
    async fn gone(&self) {
        poll_fn(|cx| self.poll_gone(cx)).await
    }

    /// Reads ahead; ready once the client has ended its sending. To be asked only in the task that also
    /// drives the library, and after it, as a socket wakes one task; and only once the library has all of the
    /// request, as what is read here may be dropped.
    pub(super) fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        let inner = &mut *self.lock();
        for nth in 0..CHUNKS {
            if inner.ended.is_some() {
                return Poll::Ready(());
            }
            if let Some(pause) = &mut inner.pause {
                ready!(pause.as_mut().poll(cx));
                inner.pause = None;
            }
            let mut bytes = [0; CHUNK];
            let mut read = ReadBuf::new(&mut bytes);
            match inner.stream.as_mut().poll_read(cx, &mut read) {
                Poll::Pending => {
                    if nth > 0 {
                        // The library may want what has come.
                        cx.waker().wake_by_ref();
                    }
                    return Poll::Pending;
                }
                Poll::Ready(Ok(())) if read.filled().is_empty() => {
                    inner.ended = Some(ErrorKind::UnexpectedEof);
                }
                Poll::Ready(Ok(())) => {
                    inner.unasked += read.filled().len();
                    let kept = read.filled().len().min(AHEAD_MOST - inner.ahead.len().min(AHEAD_MOST));
                    inner.ahead.extend_from_slice(&read.filled()[..kept]);
                    inner.overrun |= kept < read.filled().len();
                }
                Poll::Ready(Err(e)) => inner.ended = Some(e.kind()),
            }
        }
        if inner.unasked >= UNASKED_MOST {
            inner.pause = Some(Box::pin(sleep(PAUSE)));
        }
        // The library may want what has come, and there may be more.
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Whether more has come than is kept, so that nothing more can be read here.
    pub(super) fn is_overrun(&self) -> bool {
        self.lock().overrun
    }

    /// Closes the write side, reads what still comes within bounds, and closes the rest by its drop.
    pub(super) async fn close(mut self) {
        if self.lock().ended.is_some() {
            return;
        }
        let drained = async {
            // It can only fail on a connection that is no more.
            let _ = self.shutdown().await;
            self.gone().await;
        };
        let _ = timeout(DRAIN, drained).await;
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let inner = &mut *self.lock();
        if !inner.ahead.is_empty() {
            let taken = inner.ahead.len().min(buf.remaining());
            buf.put_slice(&inner.ahead[..taken]);
            inner.ahead.advance(taken);
            return Poll::Ready(Ok(()));
        }
        match inner.ended {
            Some(ErrorKind::UnexpectedEof) => Poll::Ready(Ok(())),
            Some(kind) => Poll::Ready(Err(kind.into())),
            // What was dropped leaves a gap: nothing behind it can be read.
            None if inner.overrun => Poll::Ready(Ok(())),
            None => {
                inner.unasked = 0;
                inner.stream.as_mut().poll_read(cx, buf)
            }
        }
    }
}

impl AsyncWrite for Socket {
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
