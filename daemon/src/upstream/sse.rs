//! Splits a server's response into server-sent events, so that an event is passed on only once it is complete
//! and invalid input is never passed on.

use bytes::{Bytes, BytesMut};

/// The largest event accepted.
pub(super) const MAX_EVENT_BYTES: usize = 64 << 10;
/// The longest response accepted.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The fields with which a line may begin.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// The input is not an event, or exceeds a size limit.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response is not a valid event stream")]
pub(super) struct InvalidEvent;

/// Splits bytes into events, each including the blank line that ends it.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// Where the first line that has not been checked starts.
    line_start: usize,
    total_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), InvalidEvent> {
        self.total_bytes += data.len();
        self.buffer.extend_from_slice(data);
        let max_buffered = MAX_EVENT_BYTES + data.len();
        (self.buffer.len() <= max_buffered && self.total_bytes <= MAX_RESPONSE_BYTES)
            .then_some(())
            .ok_or(InvalidEvent)
    }

    /// Returns the next complete event, if there is one.
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

    /// Returns what is left when the stream has ended: an event without its final blank line.
    pub(super) fn remainder(&mut self) -> Option<Bytes> {
        self.line_start = 0;
        let remainder = self.buffer.split().freeze();
        (!remainder.trim_ascii().is_empty()).then_some(remainder)
    }
}

/// Accepts a line that is empty, a comment or a known field, or an incomplete line that may become one.
fn check_line(line: &[u8], is_complete: bool) -> Result<(), InvalidEvent> {
    let is_known_prefix = |field: &&[u8]| match line.strip_prefix(*field) {
        Some(rest) => rest.is_empty() || rest[0] == b':' || (!is_complete && rest == b"\r"),
        None => !is_complete && (field.starts_with(line) || line == b"\r"),
    };
    (line.is_empty() || line[0] == b':' || KNOWN_FIELDS.iter().any(is_known_prefix))
        .then_some(())
        .ok_or(InvalidEvent)
}

/// Whether the bytes up to a blank line hold an event: only its data makes it one.
pub(super) fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

/// Returns the load report in an event, if the event is a comment that carries one.
pub(super) fn load_report_comment(event: &[u8]) -> Option<&[u8]> {
    event.strip_prefix(b": X-Pressure:").map(<[u8]>::trim_ascii)
}

#[cfg(test)]
#[path = "../../tests/unit/sse.rs"]
mod tests;
