//! Server-sent events as a server sends them: cut at their ends, so that nothing of an event goes on before
//! all of it is there, and what is no event goes nowhere.

use bytes::{Bytes, BytesMut};

/// No event is larger.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// No answer is longer.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// What a line may begin with.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// What came is no event, or too much of one.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("what came is not an event")]
pub(super) struct InvalidEvent;

/// Bytes into events, each with the blank line that ends it.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// Where the line that is still to be looked at begins.
    line_start: usize,
    total_bytes: usize,
}

impl EventSplitter {
    /// More bytes.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), InvalidEvent> {
        self.total_bytes += data.len();
        self.buffer.extend_from_slice(data);
        let max_buffered = MAX_EVENT_BYTES + data.len();
        (self.buffer.len() <= max_buffered && self.total_bytes <= MAX_RESPONSE_BYTES)
            .then_some(())
            .ok_or(InvalidEvent)
    }

    /// The next whole event, if there is one.
    pub(super) fn next_event(&mut self) -> Result<Option<Bytes>, InvalidEvent> {
        while let Some(length) = self.buffer[self.line_start..].iter().position(|b| *b == b'\n') {
            let line = &self.buffer[self.line_start..self.line_start + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            check_line(line, true)?;
            let is_event_end = line.is_empty();
            self.line_start += length + 1;
            if is_event_end {
                let event = self.buffer.split_to(self.line_start).freeze();
                self.line_start = 0;
                return Ok(Some(event));
            }
        }
        check_line(&self.buffer[self.line_start..], false)?;
        Ok(None)
    }

    /// What is left when the stream has ended: an event whose blank line was left out.
    pub(super) fn remainder(&mut self) -> Option<Bytes> {
        self.line_start = 0;
        let remainder = self.buffer.split().freeze();
        (!remainder.trim_ascii().is_empty()).then_some(remainder)
    }
}

/// A line is empty, a comment or a known field; one that is not whole may still become that.
fn check_line(line: &[u8], is_complete: bool) -> Result<(), InvalidEvent> {
    let is_known_prefix = |field: &&[u8]| match line.strip_prefix(*field) {
        Some(rest) => rest.is_empty() || rest[0] == b':' || (!is_complete && rest == b"\r"),
        None => !is_complete && (field.starts_with(line) || line == b"\r"),
    };
    (line.is_empty() || line[0] == b':' || KNOWN_FIELDS.iter().any(is_known_prefix))
        .then_some(())
        .ok_or(InvalidEvent)
}

/// The load report in an event that is a comment.
pub(super) fn load_report_comment(event: &[u8]) -> Option<&[u8]> {
    event.strip_prefix(b": X-Pressure:").map(<[u8]>::trim_ascii)
}

#[cfg(test)]
#[path = "../../tests/unit/sse.rs"]
mod tests;
