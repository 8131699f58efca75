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

use super::clients::Place;

/// More headers than this are not read.
pub(super) const HEADERS_MOST: usize = 64;

/// What has been found on a connection.
#[derive(Default)]
pub(super) struct Found {
    ambiguous: AtomicBool,
    last: AtomicBool,
    /// When the head began that has not ended yet.
    head_since: Mutex<Option<Instant>>,
}

impl Found {
    /// A head was ambiguous or can't be read: neither it nor what follows is a request.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Relaxed)
    }

    /// When the head began that has come in part.
    pub(super) fn head_since(&self) -> Option<Instant> {
        *self.head_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_head(&self, is_part: bool) {
        let mut since = self.head_since.lock().unwrap_or_else(PoisonError::into_inner);
        *since = is_part.then(|| since.unwrap_or_else(Instant::now));
    }

    /// The request's end is not known here, so that it must be the connection's last.
    pub(super) fn is_last(&self) -> bool {
        self.last.load(Ordering::Relaxed)
    }
}

/// What comes next on a connection.
enum Next {
    /// The rest of a head that began so.
    Head(Vec<u8>),
    /// So many bytes of a body.
    Body(u64),
    /// Nothing more that would be looked at.
    Unread,
}

/// How a request's body is framed.
#[derive(Debug, PartialEq)]
enum Framing {
    Length(u64),
    Chunked,
    Ambiguous,
}

fn framing(headers: &[Header]) -> Framing {
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
pub(super) struct Framed<S> {
    io: Pin<Box<S>>,
    next: Next,
    found: Arc<Found>,
    place: Arc<Place>,
}

impl<S> Framed<S> {
    pub(super) fn new(io: S, found: Arc<Found>, place: Arc<Place>) -> Self {
        Framed { io: Box::pin(io), next: Next::Head(Vec::new()), found, place }
    }

    fn follow(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let (next, taken) = match std::mem::replace(&mut self.next, Next::Unread) {
                Next::Unread => return self.found.note_head(false),
                Next::Body(length) => {
                    let taken = length.min(bytes.len() as u64);
                    (self.body(length - taken), taken as usize)
                }
                Next::Head(mut held) => {
                    // The library's bound on heads bounds this one too: past it nothing more is read.
                    held.extend_from_slice(bytes);
                    self.head(held, bytes.len())
                }
            };
            self.next = next;
            bytes = &bytes[taken..];
        }
        self.found.note_head(matches!(&self.next, Next::Head(held) if !held.is_empty()));
    }

    /// What follows on a head that has come so far, and how many of its last `new` bytes belong to it.
    fn head(&self, held: Vec<u8>, new: usize) -> (Next, usize) {
        let mut headers = [EMPTY_HEADER; HEADERS_MOST];
        let mut request = httparse::Request::new(&mut headers);
        let (framing, taken) = match request.parse(&held) {
            Ok(Status::Partial) => return (Next::Head(held), new),
            Ok(Status::Complete(end)) => (framing(request.headers), new - (held.len() - end)),
            Err(_) => (Framing::Ambiguous, new),
        };
        let next = match framing {
            Framing::Length(length) => self.body(length),
            Framing::Chunked => {
                // Counts as arrived from its head on, as it must not be cut off once it has.
                self.place.arrived();
                self.found.last.store(true, Ordering::Relaxed);
                Next::Unread
            }
            Framing::Ambiguous => {
                self.found.ambiguous.store(true, Ordering::Relaxed);
                Next::Unread
            }
        };
        (next, taken)
    }

    fn body(&self, left: u64) -> Next {
        if left > 0 {
            return Next::Body(left);
        }
        self.place.arrived();
        Next::Head(Vec::new())
    }
}

impl<S: AsyncRead> AsyncRead for Framed<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(self.io.as_mut().poll_read(cx, buf))?;
        self.follow(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite> AsyncWrite for Framed<S> {
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
