//! Server-sent events as a server sends them: cut at their ends, so that nothing of an event goes on before
//! all of it is there, and what is no event goes nowhere.

use bytes::{Bytes, BytesMut};

/// No event is larger.
const EVENT_MOST: usize = 64 << 10;
/// No answer is longer.
const ANSWER_MOST: usize = 4 << 20;
/// What a line may begin with.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// What came is no event, or too much of one.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("what came is not an event")]
pub(super) struct Unreadable;

/// Bytes into events, each with the blank line that ends it.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    part: BytesMut,
    /// Where the line that is still to be looked at begins.
    line: usize,
    total: usize,
}

impl Splitter {
    /// More bytes.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), Unreadable> {
        self.total += data.len();
        self.part.extend_from_slice(data);
        let most = EVENT_MOST + data.len();
        (self.part.len() <= most && self.total <= ANSWER_MOST).then_some(()).ok_or(Unreadable)
    }

    /// The next whole event, if there is one.
    pub(super) fn next(&mut self) -> Result<Option<Bytes>, Unreadable> {
        while let Some(at) = self.part[self.line..].iter().position(|b| *b == b'\n') {
            let line = &self.part[self.line..self.line + at];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            check(line, true)?;
            let ends = line.is_empty();
            self.line += at + 1;
            if ends {
                let event = self.part.split_to(self.line).freeze();
                self.line = 0;
                return Ok(Some(event));
            }
        }
        check(&self.part[self.line..], false)?;
        Ok(None)
    }

    /// What is left when the stream has ended: an event whose blank line was left out.
    pub(super) fn rest(&mut self) -> Option<Bytes> {
        self.line = 0;
        let rest = self.part.split().freeze();
        (!rest.trim_ascii().is_empty()).then_some(rest)
    }
}

/// A line is empty, a comment or a known field; one that is not whole may still become that.
fn check(line: &[u8], whole: bool) -> Result<(), Unreadable> {
    let known = |field: &&[u8]| match line.strip_prefix(*field) {
        Some(rest) => rest.is_empty() || rest[0] == b':' || (!whole && rest == b"\r"),
        None => !whole && (field.starts_with(line) || line == b"\r"),
    };
    (line.is_empty() || line[0] == b':' || FIELDS.iter().any(known)).then_some(()).ok_or(Unreadable)
}

/// The load report in an event that is a comment.
pub(super) fn report(event: &[u8]) -> Option<&[u8]> {
    event.strip_prefix(b": X-Pressure:").map(<[u8]>::trim_ascii)
}

#[cfg(test)]
#[path = "../../tests/unit/sse.rs"]
mod tests;
