//! Server-sent events as a box sends them: cut at their ends, so that nothing of an event goes on before
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
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    const EVENTS: [&str; 4] =
        ["data: {}\n\n", ": X-Pressure: {}\n\n", "event: a\r\ndata\r\n\r\n", "id:1\n\n"];

    /// Events in pieces that end anywhere, then noise: all events come whole and unchanged, then none.
    fn any_pieces(which: Vec<u8>, cuts: Vec<u8>, noise: bool) -> bool {
        let events: Vec<&str> = which.iter().map(|w| EVENTS[usize::from(*w) % EVENTS.len()]).collect();
        let mut text = events.concat().into_bytes();
        text.extend_from_slice(if noise { b"\x8f datum" } else { b"data: last" });
        let (mut splitter, mut got, mut broke, mut cuts) =
            (Splitter::default(), Vec::new(), false, cuts.iter());
        while !text.is_empty() && !broke {
            let size = cuts.next().map_or(text.len(), |c| usize::from(*c).clamp(1, text.len()));
            let rest = text.split_off(size);
            splitter.push(&text).unwrap();
            text = rest;
            loop {
                match splitter.next() {
                    Ok(Some(event)) => got.push(event),
                    Ok(None) => break,
                    Err(Unreadable) => {
                        broke = true;
                        break;
                    }
                }
            }
        }
        let rest = splitter.rest();
        got == events && broke == noise && (noise || rest.as_deref() == Some(b"data: last"))
    }

    #[test]
    fn events_come_whole_and_noise_never() {
        let gen = Gen::from_size_and_seed(24, 0xe7e7);
        QuickCheck::new().rng(gen).tests(400).quickcheck(any_pieces as fn(Vec<u8>, Vec<u8>, bool) -> bool);
    }

    #[test]
    fn an_event_and_an_answer_have_bounds() {
        let mut splitter = Splitter::default();
        let endless = |_| splitter.push(&[b':'; 4096]).and_then(|()| splitter.next()).is_err();
        assert!((0..18).any(endless), "one event");
        let mut splitter = Splitter::default();
        let mut events = |_| {
            splitter.push(&b":\n\n".repeat(400)).is_err() || {
                while let Ok(Some(_)) = splitter.next() {}
                false
            }
        };
        assert!((0..3_600).any(&mut events), "one answer");
    }
}
