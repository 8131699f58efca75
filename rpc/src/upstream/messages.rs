//! gRPC's framing: messages out of data, and what a status's details say.

use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use base64::Engine;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use http::HeaderMap;
use prost::Message;

use crate::outcome::{AttemptEnd, StatusDetail};
use crate::proto::{never_ran::Why, NeverRan};

/// Before each message: whether it is compressed, and its length.
const PREFIX_BYTES: usize = 5;
/// The longest message, as on the platform's wire.
pub(super) const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// What our detail is called.
const NEVER_RAN_TYPE_URL: &str = "type.googleapis.com/frosttrail.box.v1.NeverRan";

/// A status as it travels in `grpc-status-details-bin`.
#[derive(Clone, PartialEq, prost::Message)]
struct RpcStatus {
    #[prost(int32, tag = "1")]
    code: i32,
    #[prost(string, tag = "2")]
    message: String,
    #[prost(message, repeated, tag = "3")]
    details: Vec<prost_types::Any>,
}

/// A message with its prefix.
pub(super) fn encode_message(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    message.encode_raw(&mut bytes);
    bytes.freeze()
}

/// What comes next on a stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    Message(Bytes),
    /// The end, with its trailers.
    End(HeaderMap),
}

/// Takes messages out of a stream.
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

    /// The next message, or the end.
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
                    // Room for as much again; who stops reading stops the server.
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

/// What an error of the library means.
pub(super) fn attempt_end(error: &h2::Error) -> AttemptEnd {
    match error.reason() {
        // Streams that a GOAWAY leaves out end with it; those that it covers go on.
        Some(_) if error.is_go_away() && error.is_remote() => AttemptEnd::ExcludedByGoaway,
        Some(reason) if error.is_reset() && error.is_remote() => AttemptEnd::Reset(reason),
        // Ours: what came could not be read.
        Some(_) => AttemptEnd::InvalidResponse,
        None => AttemptEnd::ConnectionFailed,
    }
}

/// The status in a head or in trailers: whether it is good, and what the server says if it is not.
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

/// The header that says that a request never ran here, for a server to put beside its status.
pub fn never_ran_header(code: i32, message: &str, why: NeverRan) -> String {
    let detail = prost_types::Any { type_url: NEVER_RAN_TYPE_URL.into(), value: why.encode_to_vec() };
    let status = RpcStatus { code, message: message.into(), details: vec![detail] };
    STANDARD_NO_PAD.encode(status.encode_to_vec())
}
