//! Follows the framing of a server's responses and rejects a chunk that no body can hold.
//!
//! The HTTP library hands out the bytes of a chunk as they come and does not say what size it stated. A chunk
//! of gigabytes never ends, so whatever arrives in it belongs to no answer.

use std::error::Error;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use httparse::{Header, ParserConfig, Status, EMPTY_HEADER};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::observer::InvalidResponse;
use super::response_body::MAX_BODY_BYTES;

/// Most headers in a response head whose framing is followed; the same as the HTTP library accepts.
const MAX_HEADERS: usize = 100;

/// A chunk states a size that no body has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a chunk of {0} bytes is larger than any body")]
pub(super) struct ChunkTooLarge(u64);

/// What the next bytes of a connection belong to.
#[derive(Debug)]
enum ParseState {
    /// A response head, of which these bytes have arrived.
    Head(Vec<u8>),
    /// A body with this many bytes to come.
    Body(u64),
    /// The line with a chunk's size, as far as it has arrived.
    ChunkSize(SizeLine),
    /// A chunk with this many bytes to come.
    ChunkData(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// The lines after the last chunk. Whether the current one has a byte yet.
    Trailers { has_content: bool },
    /// The rest of the connection is not followed.
    Ignored,
}

/// The line that begins a chunk.
#[derive(Clone, Copy, Debug, Default)]
struct SizeLine {
    size: u64,
    /// The digits have ended; an extension may follow.
    is_complete: bool,
}

impl SizeLine {
    fn push(&mut self, byte: u8) {
        match (byte as char).to_digit(16) {
            Some(digit) if !self.is_complete => {
                self.size = self.size.saturating_mul(16).saturating_add(digit.into());
            }
            _ => self.is_complete = true,
        }
    }
}

/// Follows the framing of the responses on one connection.
#[derive(Debug)]
struct ResponseFraming(ParseState);

impl ResponseFraming {
    /// Advances over bytes that have arrived. Leaves what else is invalid to the HTTP library.
    fn track(&mut self, mut bytes: &[u8]) -> Result<(), ChunkTooLarge> {
        while !bytes.is_empty() {
            let state = std::mem::replace(&mut self.0, ParseState::Ignored);
            let (state, consumed) = match state {
                ParseState::Ignored => return Ok(()),
                ParseState::Head(head) => parse_head(head, bytes),
                ParseState::Body(length) => {
                    let (length, consumed) = skip(length, bytes);
                    (body_state(length), consumed)
                }
                ParseState::ChunkSize(line) => read_size_line(line, bytes)?,
                ParseState::ChunkData(length) => {
                    let (length, consumed) = skip(length, bytes);
                    let state = if length > 0 { ParseState::ChunkData(length) } else { ParseState::ChunkEnd };
                    (state, consumed)
                }
                ParseState::ChunkEnd => match line_length(bytes) {
                    Some(length) => (ParseState::ChunkSize(SizeLine::default()), length),
                    None => (ParseState::ChunkEnd, bytes.len()),
                },
                ParseState::Trailers { has_content } => read_trailer(has_content, bytes),
            };
            self.0 = state;
            bytes = &bytes[consumed..];
        }
        Ok(())
    }
}

/// The state at the start of a response.
fn next_head() -> ParseState {
    ParseState::Head(Vec::new())
}

fn body_state(length: u64) -> ParseState {
    if length > 0 {
        ParseState::Body(length)
    } else {
        next_head()
    }
}

/// Skips up to `length` bytes; returns how many of them are still to come, and how many were skipped.
fn skip(length: u64, bytes: &[u8]) -> (u64, usize) {
    let skipped = length.min(bytes.len() as u64);
    (length - skipped, skipped as usize)
}

/// The length of the first line, with its line feed; `None` if that has not arrived.
fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n').map(|position| position + 1)
}

/// Parses a response head; returns the next state, and how many of the new bytes belong to the head.
fn parse_head(mut head: Vec<u8>, new_bytes: &[u8]) -> (ParseState, usize) {
    head.extend_from_slice(new_bytes);
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    // The same leniency as the HTTP library is told to have.
    let mut parser = ParserConfig::default();
    parser.ignore_invalid_headers_in_responses(true);
    match parser.parse_response(&mut response, &head) {
        Ok(Status::Complete(end)) => {
            let state = state_after_head(response.code.unwrap_or_default(), response.headers);
            (state, new_bytes.len() - (head.len() - end))
        }
        Ok(Status::Partial) => (ParseState::Head(head), new_bytes.len()),
        Err(_) => (ParseState::Ignored, new_bytes.len()),
    }
}

fn state_after_head(status: u16, headers: &[Header]) -> ParseState {
    let value = |name: &str| headers.iter().rfind(|header| header.name.eq_ignore_ascii_case(name));
    if matches!(status, 100..=199 | 204 | 304) {
        return next_head();
    }
    if let Some(coding) = value("transfer-encoding") {
        let is_chunked = coding.value.to_ascii_lowercase().trim_ascii_end().ends_with(b"chunked");
        return if is_chunked { ParseState::ChunkSize(SizeLine::default()) } else { ParseState::Ignored };
    }
    let length = value("content-length").and_then(|length| std::str::from_utf8(length.value).ok());
    length.and_then(|length| length.trim().parse().ok()).map_or(ParseState::Ignored, body_state)
}

fn read_size_line(mut line: SizeLine, bytes: &[u8]) -> Result<(ParseState, usize), ChunkTooLarge> {
    let length = line_length(bytes);
    let consumed = length.unwrap_or(bytes.len());
    bytes[..consumed].iter().for_each(|byte| line.push(*byte));
    // Rejected as soon as the digits exceed it: the line may never end.
    if line.size > MAX_BODY_BYTES as u64 {
        return Err(ChunkTooLarge(line.size));
    }
    let state = match (length, line.size) {
        (None, _) => ParseState::ChunkSize(line),
        (Some(_), 0) => ParseState::Trailers { has_content: false },
        (Some(_), size) => ParseState::ChunkData(size),
    };
    Ok((state, consumed))
}

fn read_trailer(has_content: bool, bytes: &[u8]) -> (ParseState, usize) {
    let length = line_length(bytes);
    let consumed = length.unwrap_or(bytes.len());
    let has_content = has_content || bytes[..consumed].iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
    let state = match length {
        Some(_) if !has_content => next_head(),
        Some(_) => ParseState::Trailers { has_content: false },
        None => ParseState::Trailers { has_content },
    };
    (state, consumed)
}

/// A connection to a server whose reads fail once a chunk states a size that no body has.
#[derive(Debug)]
pub(super) struct FramedResponses<S> {
    io: S,
    framing: ResponseFraming,
}

impl<S> FramedResponses<S> {
    /// Wraps a new connection.
    pub(super) fn new(io: S) -> Self {
        FramedResponses { io, framing: ResponseFraming(next_head()) }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FramedResponses<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        let tracked = self.framing.track(&buf.filled()[before..]);
        Poll::Ready(tracked.map_err(|e| io::Error::new(ErrorKind::InvalidData, e)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FramedResponses<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Tells an invalid response from a connection that broke. `parse_failure` is what an error of the HTTP
/// library's parser means at this point.
pub(super) fn invalid_response(e: &hyper::Error, parse_failure: InvalidResponse) -> Option<InvalidResponse> {
    if e.is_parse() {
        return Some(parse_failure);
    }
    let io_error = e.source().and_then(|source| source.downcast_ref::<io::Error>())?;
    if io_error.get_ref().is_some_and(|inner| inner.is::<ChunkTooLarge>()) {
        return Some(InvalidResponse::ChunkTooLarge);
    }
    matches!(io_error.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData).then_some(parse_failure)
}

#[cfg(test)]
#[path = "../../tests/unit/response_framing.rs"]
mod tests;
