//! A client's socket, which detects a disconnect behind unread input and closes without losing a response.
//!
//! While a request is open, the socket reads ahead: a disconnect is noticed whatever the client sent before
//! it. On close, it ends the write side first and drains the input, so that no response in flight is lost.

use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant, Sleep};
use tokio_io_timeout::TimeoutStream;

use super::arrival::ArrivalClock;
use super::framing::TimedRead;
use crate::buffer_budget::{BufferBudget, ReservedBuffer};
use crate::tcp::TcpConnection;

/// Input kept while a request is open, if there is memory for it. Regular clients send one request at a time
/// and stay below it; what comes beyond is read, since the client's disconnect may follow it, and dropped.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Size of one read while reading ahead.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Reads in one poll, before other tasks get their turn.
const MAX_READS_PER_POLL: usize = 8;
/// How long input is drained after the write side has been closed. A close with unread input would reset the
/// connection, and the end of the response would be lost.
const CLOSE_DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Input that is read ahead within this time counts as having arrived at once.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(50);
/// Input that hyper has not asked for and that is read at full speed. Beyond it, reading goes on, since a
/// disconnect may follow, with a pause of `READ_PAUSE` after each poll.
const MAX_UNREQUESTED_BYTES: usize = 1 << 20;
/// Short enough to empty a socket's receive buffer well within 0.3 s, and long enough to leave the CPU to
/// other connections.
const READ_PAUSE: Duration = Duration::from_millis(2);

/// A handle to the socket. hyper reads and writes through one; the connection's task watches for the client's
/// disconnect through another.
#[derive(Clone)]
pub(super) struct ClientSocket(Arc<Mutex<Inner>>);

struct Inner {
    stream: Pin<Box<TimeoutStream<TcpConnection>>>,
    /// Input that was read ahead and has not been handed to hyper.
    read_ahead: ReservedBuffer,
    /// When the bytes of `read_ahead` arrived, in their order.
    read_ahead_arrivals: VecDeque<ReadAheadPart>,
    arrivals: ArrivalClock,
    /// The earliest time at which the bytes that hyper read last can have arrived.
    received_at: Instant,
    /// How the input ended: `UnexpectedEof` at a regular end, otherwise the error.
    read_end: Option<ErrorKind>,
    /// Bytes read ahead since hyper last read from the socket itself.
    unrequested_bytes: usize,
    /// The pause before the next read, once `MAX_UNREQUESTED_BYTES` have been read.
    read_pause: Option<Pin<Box<Sleep>>>,
    /// More input came than is kept, and the excess was dropped.
    has_dropped_bytes: bool,
}

/// Bytes that were read ahead at about the same time.
struct ReadAheadPart {
    bytes: usize,
    /// The earliest time at which they can have arrived.
    received_at: Instant,
}

impl Inner {
    /// Records bytes that were added to `read_ahead`.
    fn record_read_ahead(&mut self, bytes: usize) {
        let received_at = self.arrivals.earliest_arrival();
        match self.read_ahead_arrivals.back_mut() {
            Some(last) if received_at.saturating_duration_since(last.received_at) < ARRIVAL_RESOLUTION => {
                last.bytes += bytes;
            }
            _ => self.read_ahead_arrivals.push_back(ReadAheadPart { bytes, received_at }),
        }
    }

    /// Hands bytes that were read ahead to hyper, all of which arrived at about the same time.
    fn take_read_ahead(&mut self, buf: &mut ReadBuf<'_>) {
        let max_bytes = self.read_ahead_arrivals.front().map_or(usize::MAX, |part| part.bytes);
        let taken = self.read_ahead.read_into(buf, max_bytes);
        let Some(part) = self.read_ahead_arrivals.front_mut() else { return };
        self.received_at = part.received_at;
        part.bytes -= taken;
        if part.bytes == 0 {
            self.read_ahead_arrivals.pop_front();
        }
    }
}

impl ClientSocket {
    /// Wraps a connection; writes fail once the client has taken nothing for `write_timeout`. Input that is
    /// read ahead takes memory from `buffers`.
    pub(super) fn new(
        stream: TcpStream,
        write_timeout: Duration,
        buffers: &BufferBudget,
        arrivals: ArrivalClock,
    ) -> Self {
        let mut stream = TimeoutStream::new(TcpConnection::new(stream));
        stream.set_write_timeout(Some(write_timeout));
        let (stream, read_ahead) = (Box::pin(stream), ReservedBuffer::new(buffers, MAX_READ_AHEAD_BYTES));
        let inner = Inner {
            stream,
            read_ahead,
            read_ahead_arrivals: VecDeque::new(),
            received_at: arrivals.earliest_arrival(),
            arrivals,
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

    /// Resolves once the client's input has ended, regularly or by an error, however much came before.
    async fn wait_for_client_end(&self) {
        poll_fn(|cx| self.poll_client_end(cx)).await
    }

    /// Reads ahead; ready once the client's input has ended. Must be polled in the task that drives hyper,
    /// after hyper, because a socket wakes only one task; and only once hyper has the whole request, because
    /// input read here may be dropped.
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
                        // hyper may want what has been read.
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
                    let is_kept = inner.read_ahead.try_extend(&read.filled()[..kept]).is_ok();
                    if is_kept && kept > 0 {
                        inner.record_read_ahead(kept);
                    }
                    inner.has_dropped_bytes |= !is_kept || kept < read.filled().len();
                }
                Poll::Ready(Err(e)) => inner.read_end = Some(e.kind()),
            }
        }
        if inner.unrequested_bytes >= MAX_UNREQUESTED_BYTES {
            inner.read_pause = Some(Box::pin(sleep(READ_PAUSE)));
        }
        // hyper may want what has been read, and there may be more input.
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Whether input was dropped, so that no further request can be read from this connection.
    pub(super) fn has_dropped_bytes(&self) -> bool {
        self.lock().has_dropped_bytes
    }

    /// Closes the write side, drains the input for at most `CLOSE_DRAIN_TIMEOUT`, and closes the socket by
    /// dropping it.
    pub(super) async fn close(mut self) {
        if self.lock().read_end.is_some() {
            return;
        }
        let drain = async {
            // Fails only on a connection that is already closed.
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
            inner.take_read_ahead(buf);
            return Poll::Ready(Ok(()));
        }
        match inner.read_end {
            Some(ErrorKind::UnexpectedEof) => Poll::Ready(Ok(())),
            Some(kind) => Poll::Ready(Err(kind.into())),
            // Dropped input leaves a gap, so the rest can't be parsed: reports the end of the input.
            None if inner.has_dropped_bytes => Poll::Ready(Ok(())),
            None => {
                inner.unrequested_bytes = 0;
                ready!(inner.stream.as_mut().poll_read(cx, buf))?;
                inner.received_at = inner.arrivals.earliest_arrival();
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl TimedRead for ClientSocket {
    fn received_at(&self) -> Instant {
        self.lock().received_at
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
