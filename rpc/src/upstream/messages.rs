//! The framing of gRPC messages, and the decoding of statuses and their details.

use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use base64::Engine;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use http::HeaderMap;
use prost::Message;

use crate::outcome::{AttemptEnd, StatusDetail};
use crate::proto::{never_ran::Why, NeverRan};

/// Length of the prefix of each message, which holds the compressed flag and the message's length.
const PREFIX_BYTES: usize = 5;
/// Maximum length of a message from a server, as in the platform's protocol.
pub(super) const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Type URL of the status detail that states that a request never ran.
const NEVER_RAN_TYPE_URL: &str = "type.googleapis.com/frosttrail.box.v1.NeverRan";

/// The status in the header `grpc-status-details-bin`.
#[derive(Clone, PartialEq, prost::Message)]
struct RpcStatus {
    #[prost(int32, tag = "1")]
    code: i32,
    #[prost(string, tag = "2")]
    message: String,
    #[prost(message, repeated, tag = "3")]
    details: Vec<prost_types::Any>,
}

/// Encodes a message with its prefix.
pub(super) fn encode_message(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    message.encode_raw(&mut bytes);
    bytes.freeze()
}

/// The next item of a stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    Message(Bytes),
    /// The end of the stream, with its trailers.
    End(HeaderMap),
}

/// Reads the messages of a stream.
#[derive(Debug)]
pub(super) struct MessageReader {
    stream: RecvStream,
    buffer: BytesMut,
    has_data_ended: bool,
}

impl MessageReader {
    pub(super) fn new(stream: RecvStream) -> Self {
        MessageReader { stream, buffer: BytesMut::new(), has_data_ended: false }
    }

    /// Polls for the next message or the end of the stream.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<StreamItem, AttemptEnd>> {
        use std::task::{ready, Poll};
        loop {
            if let Some(message) = self.take_message()? {
                return Poll::Ready(Ok(StreamItem::Message(message)));
            }
            if self.has_data_ended {
                let trailers = ready!(self.stream.poll_trailers(cx)).map_err(|e| attempt_end(&e))?;
                let is_complete = self.buffer.is_empty();
                return Poll::Ready(
                    trailers.filter(|_| is_complete).map(StreamItem::End).ok_or(AttemptEnd::InvalidResponse),
                );
            }
            match ready!(self.stream.poll_data(cx)) {
                Some(Ok(data)) => {
                    // Allows the server to send as much again. It has to stop once the client stops reading.
                    let _ = self.stream.flow_control().release_capacity(data.len());
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(e)) => return Poll::Ready(Err(attempt_end(&e))),
                None => self.has_data_ended = true,
            }
        }
    }

    fn take_message(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        let Some(prefix) = self.buffer.get(..PREFIX_BYTES) else { return Ok(None) };
        let length = (&prefix[1..]).get_u32() as usize;
        if prefix[0] != 0 || length > MAX_MESSAGE_BYTES {
            return Err(AttemptEnd::InvalidResponse);
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        let mut message = self.buffer.split_to(PREFIX_BYTES + length).freeze();
        message.advance(PREFIX_BYTES);
        Ok(Some(message))
    }
}

/// Converts an error of the HTTP/2 library to the end of the attempt.
pub(super) fn attempt_end(error: &h2::Error) -> AttemptEnd {
    match error.reason() {
        // A GOAWAY ends the streams above its last stream with this error; the others continue.
        Some(_) if error.is_go_away() && error.is_remote() => AttemptEnd::ExcludedByGoaway,
        Some(reason) if error.is_reset() && error.is_remote() => AttemptEnd::Reset(reason),
        // The error was raised on this side, because the response is invalid.
        Some(_) => AttemptEnd::InvalidResponse,
        None => AttemptEnd::ConnectionFailed,
    }
}

/// Returns the status in a response head or in trailers; for an error, what the server stated in its details,
/// and its load report. `None` if there is no valid status.
pub(super) fn parse_status(
    headers: &HeaderMap,
) -> Option<Result<(), (StatusDetail, Option<crate::proto::Load>)>> {
    let code = headers.get("grpc-status")?.to_str().ok()?.parse::<i32>().ok()?;
    if code == 0 {
        return Some(Ok(()));
    }
    let never_ran = never_ran_detail(headers).unwrap_or_default();
    let detail = match never_ran.why() {
        Why::TurnedAway => StatusDetail::Rejected,
        Why::StateLost => StatusDetail::CacheMissing,
        Why::Unspecified => StatusDetail::Unspecified,
    };
    Some(Err((detail, never_ran.load)))
}

fn never_ran_detail(headers: &HeaderMap) -> Option<NeverRan> {
    let text = headers.get("grpc-status-details-bin")?.as_bytes();
    let bytes = STANDARD_NO_PAD.decode(text).or_else(|_| STANDARD.decode(text)).ok()?;
    let status = RpcStatus::decode(&bytes[..]).ok()?;
    let detail = status.details.into_iter().find(|d| d.type_url == NEVER_RAN_TYPE_URL)?;
    NeverRan::decode(&detail.value[..]).ok()
}

/// Returns the value of `grpc-status-details-bin` that states that a request never ran. Servers send it with
/// their status.
pub fn never_ran_header(code: i32, message: &str, why: NeverRan) -> String {
    let detail = prost_types::Any { type_url: NEVER_RAN_TYPE_URL.into(), value: why.encode_to_vec() };
    let status = RpcStatus { code, message: message.into(), details: vec![detail] };
    STANDARD_NO_PAD.encode(status.encode_to_vec())
}
