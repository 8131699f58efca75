//! Where each request on a connection ends. The library lets the chunked coding win over a length, and one
//! length stand for several; whoever reads such a head otherwise sees another request in its body. Here a
//! head that can be read in two ways counts as none.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

use httparse::{Header, Status, EMPTY_HEADER};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::clients::ConnectionSlot;

/// More headers than this are not read.
pub(super) const MAX_HEADERS: usize = 64;

/// What has been found on a connection.
#[derive(Default)]
pub(super) struct FramingState {
    is_ambiguous: AtomicBool,
    is_last_request: AtomicBool,
    /// When the head began that has not ended yet.
    partial_head_since: Mutex<Option<Instant>>,
}

impl FramingState {
    /// A head was ambiguous or can't be read: neither it nor what follows is a request.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous.load(Ordering::Relaxed)
    }

    /// When the head began that has come in part.
    pub(super) fn partial_head_since(&self) -> Option<Instant> {
        *self.partial_head_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_partial_head(&self, is_partial: bool) {
        let mut since = self.partial_head_since.lock().unwrap_or_else(PoisonError::into_inner);
        *since = is_partial.then(|| since.unwrap_or_else(Instant::now));
    }

    /// The request's end is not known here, so that it must be the connection's last.
    pub(super) fn is_last_request(&self) -> bool {
        self.is_last_request.load(Ordering::Relaxed)
    }
}

/// What comes next on a connection.
enum ParseState {
    /// The rest of a head that began so.
    Head(Vec<u8>),
    /// So many bytes of a body.
    Body(u64),
    /// Nothing more that would be looked at.
    Ignored,
}

/// How a request's body is framed.
#[derive(Debug, PartialEq)]
enum Framing {
    Length(u64),
    Chunked,
    Ambiguous,
}

fn body_framing(headers: &[Header]) -> Framing {
    let named = |name: &str| {
        let named = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value).collect::<Vec<_>>()
    };
    match (named("content-length").as_slice(), named("transfer-encoding").as_slice()) {
        ([], []) => Framing::Length(0),
        // Digits alone: other readers take a sign, a list or a number in another base to be something else.
        ([length], []) if length.iter().all(u8::is_ascii_digit) => std::str::from_utf8(length)
            .ok()
            .and_then(|length| length.parse().ok())
            .map_or(Framing::Ambiguous, Framing::Length),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Framing::Chunked,
        _ => Framing::Ambiguous,
    }
}

/// A client's connection that is read along with the library.
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

    fn track(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let (state, consumed) = match std::mem::replace(&mut self.state, ParseState::Ignored) {
                ParseState::Ignored => return self.framing.set_partial_head(false),
                ParseState::Body(length) => {
                    let consumed = length.min(bytes.len() as u64);
                    (self.expect_body(length - consumed), consumed as usize)
                }
                ParseState::Head(mut head) => {
                    // The library's bound on heads bounds this one too: past it nothing more is read.
                    head.extend_from_slice(bytes);
                    self.parse_head(head, bytes.len())
                }
            };
            self.state = state;
            bytes = &bytes[consumed..];
        }
        self.framing.set_partial_head(matches!(&self.state, ParseState::Head(head) if !head.is_empty()));
    }

    /// What follows on a head that has come so far, and how many of its last `new` bytes belong to it.
    fn parse_head(&self, head: Vec<u8>, new_bytes: usize) -> (ParseState, usize) {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let (framing, consumed) = match request.parse(&head) {
            Ok(Status::Partial) => return (ParseState::Head(head), new_bytes),
            Ok(Status::Complete(end)) => (body_framing(request.headers), new_bytes - (head.len() - end)),
            Err(_) => (Framing::Ambiguous, new_bytes),
        };
        let state = match framing {
            Framing::Length(length) => self.expect_body(length),
            Framing::Chunked => {
                // Counts as arrived from its head on, as it must not be cut off once it has.
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

    fn expect_body(&self, remaining: u64) -> ParseState {
        if remaining > 0 {
            return ParseState::Body(remaining);
        }
        self.slot.record_arrival();
        ParseState::Head(Vec::new())
    }
}

impl<S: AsyncRead> AsyncRead for FramingStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(self.io.as_mut().poll_read(cx, buf))?;
        self.track(&buf.filled()[before..]);
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
