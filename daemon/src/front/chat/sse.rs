//! Server-sent events: where one ends, what it holds, and a chat stream that is whole only with its
//! final event.

use std::task::{Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use frosttrail_core::{AnswerStream, Broken, Events};
use serde::Deserialize;

/// No event is larger.
const EVENT_MOST: usize = 256 << 10;

/// Bytes into events, each with the blank line that ends it.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    part: BytesMut,
    /// No event ends before here.
    seen: usize,
}

impl Splitter {
    /// More bytes; an event of unbounded length is as good as a break.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), Broken> {
        self.part.extend_from_slice(data);
        if self.part.len() > EVENT_MOST + data.len() {
            return Err(Broken);
        }
        Ok(())
    }

    /// The next whole event.
    pub(super) fn next(&mut self) -> Option<Bytes> {
        let end = |rest: &[u8]| match rest {
            [b'\n', b'\n', ..] => Some(2),
            [b'\n', b'\r', b'\n', ..] => Some(3),
            _ => None,
        };
        let found = (self.seen..self.part.len()).find_map(|at| Some(at + end(&self.part[at..])?));
        match found {
            Some(end) => {
                self.seen = 0;
                Some(self.part.split_to(end).freeze())
            }
            None => {
                self.seen = self.part.len().saturating_sub(2);
                None
            }
        }
    }

    /// What is left when the stream has ended: an event whose blank line was left out.
    pub(super) fn rest(&mut self) -> Option<Bytes> {
        self.seen = 0;
        let rest = self.part.copy_to_bytes(self.part.len());
        (!rest.trim_ascii().is_empty()).then_some(rest)
    }
}

/// What an event's data lines hold.
pub(super) fn data(event: &[u8]) -> Vec<u8> {
    let line = |line: &'_ [u8]| -> Option<Vec<u8>> {
        let data = line.strip_prefix(b"data:")?;
        Some(data.strip_prefix(b" ").unwrap_or(data).to_vec())
    };
    let lines: Vec<Vec<u8>> =
        event.split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l)).filter_map(line).collect();
    lines.join(&b'\n')
}

/// The final event.
pub(super) fn is_done(data: &[u8]) -> bool {
    data.trim_ascii() == b"[DONE]"
}

#[derive(Deserialize)]
struct UsageOnly {
    choices: [(); 0],
    #[serde(rename = "usage")]
    _usage: serde_json::Map<String, serde_json::Value>,
}

fn is_usage_only(data: &[u8]) -> bool {
    serde_json::from_slice::<UsageOnly>(data).is_ok_and(|u| u.choices.is_empty())
}

/// A box's events for a client that streams: each unchanged, as soon as it is whole. The event that only
/// tells the usage is left out where it was not asked for. A stream that ends without its final event is
/// broken, however well its connection ended.
pub struct ChatStream<E: Events> {
    events: AnswerStream<E>,
    splitter: Splitter,
    include_usage: bool,
    done: bool,
}

impl<E: Events> ChatStream<E> {
    pub(super) fn new(events: AnswerStream<E>, include_usage: bool) -> Self {
        ChatStream { events, splitter: Splitter::default(), include_usage, done: false }
    }

    /// Whether an event goes on to the client.
    fn passes(&mut self, event: &[u8]) -> bool {
        let data = data(event);
        self.done |= is_done(&data);
        self.include_usage || !is_usage_only(&data)
    }

    /// The next event; `None` at the end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        loop {
            while let Some(event) = self.splitter.next() {
                if self.passes(&event) {
                    return Poll::Ready(Some(Ok(event)));
                }
            }
            match self.events.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(data)) => {
                    if let Err(Broken) = data.and_then(|data| self.splitter.push(&data)) {
                        return Poll::Ready(Some(Err(Broken)));
                    }
                }
                Poll::Ready(None) => {
                    let rest = self.splitter.rest().filter(|rest| self.passes(rest));
                    return Poll::Ready(match rest {
                        Some(rest) => Some(Ok(rest)),
                        None if self.done => None,
                        None => Some(Err(Broken)),
                    });
                }
            }
        }
    }
}
