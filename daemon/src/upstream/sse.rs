//! Splits a server's response into server-sent events, so that an event is passed on only once it is complete
//! and invalid input is never passed on.

use bytes::{Bytes, BytesMut};

use super::response_body::MAX_BODY_BYTES;
use crate::buffer_budget::{BudgetExhausted, BufferBudget, Reservation};

/// The largest event accepted: a body may be a single event.
pub(super) const MAX_EVENT_BYTES: usize = MAX_BODY_BYTES;
/// An event up to this size is not charged to the budget for buffers, which allows for it with its
/// connection.
const MAX_UNCHARGED_BYTES: usize = 8 << 10;
/// The longest response accepted.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The fields with which a line may begin.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// The input is not an event.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response is not a valid event stream")]
pub(super) struct InvalidEvent;

/// Why input is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum PushError {
    /// An event or the whole response exceeds its limit.
    #[error("an event or the whole answer is too large")]
    TooLarge,
    /// The budget for buffers has no room for a large event.
    #[error(transparent)]
    OutOfMemory(#[from] BudgetExhausted),
}

/// Splits bytes into events, each including the blank line that ends it.
#[derive(Debug)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// For the buffer, where it is large.
    reservation: Reservation,
    /// Where the first line that has not been checked starts.
    line_start: usize,
    total_bytes: usize,
}

impl EventSplitter {
    /// Large events take their memory from `budget`.
    pub(super) fn new(budget: &BufferBudget) -> Self {
        let (buffer, reservation) = (BytesMut::new(), budget.empty_reservation());
        EventSplitter { buffer, reservation, line_start: 0, total_bytes: 0 }
    }

    /// Appends received bytes.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), PushError> {
        self.total_bytes += data.len();
        let length = self.buffer.len() + data.len();
        if length > MAX_EVENT_BYTES + data.len() || self.total_bytes > MAX_RESPONSE_BYTES {
            return Err(PushError::TooLarge);
        }
        if length > MAX_UNCHARGED_BYTES + data.len() {
            self.reservation.try_grow_to(length)?;
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Takes the bytes up to the current line. A large event leaves with its allocation and the reservation
    /// for it; what is behind it moves to a new one.
    fn take_event(&mut self) -> Bytes {
        let length = std::mem::take(&mut self.line_start);
        if length <= MAX_UNCHARGED_BYTES {
            return self.buffer.split_to(length).freeze();
        }
        let rest = BytesMut::from(&self.buffer[length..]);
        let mut event = std::mem::replace(&mut self.buffer, rest);
        event.truncate(length);
        self.reservation.take().attach_to(event.freeze())
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
                return Ok(Some(self.take_event()));
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
