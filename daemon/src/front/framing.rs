//! Tracks where each request on a connection ends, and detects heads with ambiguous framing.
//!
//! hyper lets chunked coding override a `Content-Length`, and one length stand for several. A parser that
//! reads such a head differently would see another request in its body (request smuggling), so a head that
//! can be read in two ways is rejected.

use std::collections::VecDeque;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use httparse::{Header, Status, EMPTY_HEADER};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::clients::ConnectionSlot;

/// Most headers in a request head; a head with more is rejected.
pub(super) const MAX_HEADERS: usize = 64;

/// What parsing has found on a connection so far; shared between the stream and the connection's task.
#[derive(Default)]
pub(super) struct FramingState {
    is_ambiguous: AtomicBool,
    is_last_request: AtomicBool,
    heads: Mutex<HeadArrivals>,
}

/// When heads began to arrive.
#[derive(Default)]
struct HeadArrivals {
    /// The head that is still incomplete.
    partial_since: Option<Instant>,
    /// Complete heads that have not been handled yet. No more than hyper's buffer has room for.
    complete: VecDeque<Instant>,
}

impl FramingState {
    /// Whether a head was ambiguous or malformed: neither it nor what follows is served as a request.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous.load(Ordering::Relaxed)
    }

    /// When the head that is still incomplete began to arrive.
    pub(super) fn partial_head_since(&self) -> Option<Instant> {
        self.heads().partial_since
    }

    /// When the head of the next request began to arrive; later calls are for the requests after it.
    pub(super) fn next_head_arrival(&self) -> Option<Instant> {
        self.heads().complete.pop_front()
    }

    fn set_partial_head(&self, since: Option<Instant>) {
        let mut heads = self.heads();
        heads.partial_since = since.map(|since| heads.partial_since.unwrap_or(since));
    }

    /// Records that a head is complete whose last bytes have arrived now.
    fn record_head(&self, received_at: Instant) {
        let mut heads = self.heads();
        let began_at = heads.partial_since.take().unwrap_or(received_at);
        heads.complete.push_back(began_at);
    }

    fn heads(&self) -> MutexGuard<'_, HeadArrivals> {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the request must be the connection's last, because its end is not tracked here.
    pub(super) fn is_last_request(&self) -> bool {
        self.is_last_request.load(Ordering::Relaxed)
    }
}

/// What the next bytes on a connection belong to.
enum ParseState {
    /// A request head, of which these bytes have arrived.
    Head(Vec<u8>),
    /// A request body with this many bytes to come.
    Body(u64),
    /// The rest of the connection is not parsed.
    Ignored,
}

/// How a request's body is framed.
#[derive(Debug, PartialEq)]
enum Framing {
    Length(u64),
    Chunked,
    Ambiguous,
}

/// Determines the framing of the body from the headers of its request.
fn body_framing(headers: &[Header]) -> Framing {
    let values_of = |name: &str| {
        let headers = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        headers.map(|h| h.value).collect::<Vec<_>>()
    };
    match (values_of("content-length").as_slice(), values_of("transfer-encoding").as_slice()) {
        ([], []) => Framing::Length(0),
        // Accepts digits only: parsers disagree on signs, lists and numbers in other bases.
        ([length], []) if length.iter().all(u8::is_ascii_digit) => std::str::from_utf8(length)
            .ok()
            .and_then(|length| length.parse().ok())
            .map_or(Framing::Ambiguous, Framing::Length),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Framing::Chunked,
        _ => Framing::Ambiguous,
    }
}

/// A source of input that knows when its bytes arrived.
pub(super) trait TimedRead: AsyncRead {
    /// The earliest time at which the bytes that were read last can have arrived.
    fn received_at(&self) -> Instant;
}

/// A client's connection that parses the framing of the bytes that hyper reads from it.
pub(super) struct FramingStream<S> {
    io: Pin<Box<S>>,
    state: ParseState,
    framing: Arc<FramingState>,
    slot: Arc<ConnectionSlot>,
}

impl<S> FramingStream<S> {
    pub(super) fn new(io: S, framing: Arc<FramingState>, slot: Arc<ConnectionSlot>) -> Self {
        FramingStream { io: Box::pin(io), state: ParseState::Head(Vec::new()), framing, slot }
    }

    /// Advances the parse state over bytes that hyper is about to get.
    fn track(&mut self, mut bytes: &[u8], received_at: Instant) {
        while !bytes.is_empty() {
            let (state, consumed) = match std::mem::replace(&mut self.state, ParseState::Ignored) {
                ParseState::Ignored => return self.framing.set_partial_head(None),
                ParseState::Body(length) => {
                    let consumed = length.min(bytes.len() as u64);
                    (self.expect_body(length - consumed), consumed as usize)
                }
                ParseState::Head(mut head) => {
                    // hyper's limit on the size of a head bounds this buffer too: nothing more is read past
                    // it.
                    head.extend_from_slice(bytes);
                    self.parse_head(head, bytes.len(), received_at)
                }
            };
            self.state = state;
            bytes = &bytes[consumed..];
        }
        let is_partial = matches!(&self.state, ParseState::Head(head) if !head.is_empty());
        self.framing.set_partial_head(is_partial.then_some(received_at));
    }

    /// Parses the head received so far. Returns the next state and how many of the head's last `new_bytes`
    /// bytes belong to it.
    fn parse_head(&self, head: Vec<u8>, new_bytes: usize, received_at: Instant) -> (ParseState, usize) {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let (framing, consumed) = match request.parse(&head) {
            Ok(Status::Partial) => return (ParseState::Head(head), new_bytes),
            Ok(Status::Complete(end)) => {
                self.framing.record_head(received_at);
                (body_framing(request.headers), new_bytes - (head.len() - end))
            }
            Err(_) => (Framing::Ambiguous, new_bytes),
        };
        let state = match framing {
            Framing::Length(length) => self.expect_body(length),
            Framing::Chunked => {
                // A chunked request counts as arrived from its head on: its end is not tracked here, and a
                // request that has arrived must not be cut off.
                self.slot.record_arrival();
                self.framing.is_last_request.store(true, Ordering::Relaxed);
                ParseState::Ignored
            }
            Framing::Ambiguous => {
                self.framing.is_ambiguous.store(true, Ordering::Relaxed);
                ParseState::Ignored
            }
        };
        (state, consumed)
    }

    /// Returns the state with `remaining` bytes of the body to come; if there are none, records the request
    /// as arrived.
    fn expect_body(&self, remaining: u64) -> ParseState {
        if remaining > 0 {
            return ParseState::Body(remaining);
        }
        self.slot.record_arrival();
        ParseState::Head(Vec::new())
    }
}

impl<S: TimedRead> AsyncRead for FramingStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(self.io.as_mut().poll_read(cx, buf))?;
        let received_at = self.io.received_at();
        self.track(&buf.filled()[before..], received_at);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite> AsyncWrite for FramingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.io.as_mut().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.io.as_mut().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.io.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.io.as_mut().poll_shutdown(cx)
    }
}
