//! Server-sent events: their data, and a chat stream that is complete only with its final event.

use std::task::{ready, Context, Poll};

use bytes::Bytes;
use frosttrail_core::{AnswerStream, EventStream, StreamBroken};
use serde::Deserialize;

/// The data of an event: its `data:` lines, joined by line feeds.
pub(super) fn event_data(event: &[u8]) -> Vec<u8> {
    let line = |line: &'_ [u8]| -> Option<Vec<u8>> {
        let data = line.strip_prefix(b"data:")?;
        Some(data.strip_prefix(b" ").unwrap_or(data).to_vec())
    };
    let lines: Vec<Vec<u8>> =
        event.split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l)).filter_map(line).collect();
    lines.join(&b'\n')
}

/// Whether an event's data marks the final event.
pub(super) fn is_done_event(data: &[u8]) -> bool {
    data.trim_ascii() == b"[DONE]"
}

/// A chunk without choices that only reports the usage.
#[derive(Deserialize)]
struct UsageChunk {
    choices: [(); 0],
    #[serde(rename = "usage")]
    _usage: serde_json::Map<String, serde_json::Value>,
}

fn is_usage_chunk(data: &[u8]) -> bool {
    serde_json::from_slice::<UsageChunk>(data).is_ok_and(|u| u.choices.is_empty())
}

/// A server's events for a client that streams: each is forwarded unchanged as soon as it is complete. The
/// event that only reports the usage is dropped unless the client asked for it. A stream that ends without
/// its final event counts as broken, even if its connection ended regularly.
pub struct ChatStream<E: EventStream> {
    events: AnswerStream<E>,
    include_usage: bool,
    has_final_event: bool,
}

impl<E: EventStream> ChatStream<E> {
    pub(super) fn new(events: AnswerStream<E>, include_usage: bool) -> Self {
        ChatStream { events, include_usage, has_final_event: false }
    }

    /// Whether an event may be forwarded to the client; also notes the final event.
    fn may_forward(&mut self, event: &[u8]) -> bool {
        let data = event_data(event);
        self.has_final_event |= is_done_event(&data);
        self.include_usage || !is_usage_chunk(&data)
    }

    /// The next event; `None` at the end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamBroken>>> {
        loop {
            return match ready!(self.events.poll_next(cx)) {
                Some(Ok(event)) if !self.may_forward(&event) => continue,
                None if !self.has_final_event => Poll::Ready(Some(Err(StreamBroken))),
                next => Poll::Ready(next),
            };
        }
    }
}
