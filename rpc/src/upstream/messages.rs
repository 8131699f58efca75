//! gRPC's framing: messages out of data, and what a status's details say.

use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use base64::Engine;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use http::HeaderMap;
use prost::Message;

use crate::outcome::{End, Said};
use crate::proto::{never_ran::Why, NeverRan};

/// Before each message: whether it is compressed, and its length.
const PREFIX: usize = 5;
/// The longest message, as on the platform's wire.
pub(super) const MOST: usize = 64 << 10;
/// What our detail is called.
const DETAIL: &str = "type.googleapis.com/frosttrail.box.v1.NeverRan";

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
pub(super) fn framed(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(PREFIX + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    message.encode_raw(&mut bytes);
    bytes.freeze()
}

/// What comes next on a stream.
#[derive(Debug)]
pub(super) enum Next {
    Message(Bytes),
    /// The end, with its trailers.
    End(HeaderMap),
}

/// Takes messages out of a stream.
#[derive(Debug)]
pub(super) struct Messages {
    stream: RecvStream,
    held: BytesMut,
    data_over: bool,
}

impl Messages {
    pub(super) fn new(stream: RecvStream) -> Self {
        Messages { stream, held: BytesMut::new(), data_over: false }
    }

    /// The next message, or the end.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<Next, End>> {
        use std::task::{ready, Poll};
        loop {
            if let Some(message) = self.take()? {
                return Poll::Ready(Ok(Next::Message(message)));
            }
            if self.data_over {
                let trailers = ready!(self.stream.poll_trailers(cx)).map_err(|e| end_of(&e))?;
                let whole = self.held.is_empty();
                return Poll::Ready(trailers.filter(|_| whole).map(Next::End).ok_or(End::NoGrpc));
            }
            match ready!(self.stream.poll_data(cx)) {
                Some(Ok(data)) => {
                    // Room for as much again; who stops reading stops the server.
                    let _ = self.stream.flow_control().release_capacity(data.len());
                    self.held.extend_from_slice(&data);
                }
                Some(Err(e)) => return Poll::Ready(Err(end_of(&e))),
                None => self.data_over = true,
            }
        }
    }

    fn take(&mut self) -> Result<Option<Bytes>, End> {
        let Some(prefix) = self.held.get(..PREFIX) else { return Ok(None) };
        let length = (&prefix[1..]).get_u32() as usize;
        if prefix[0] != 0 || length > MOST {
            return Err(End::NoGrpc);
        }
        if self.held.len() < PREFIX + length {
            return Ok(None);
        }
        let mut message = self.held.split_to(PREFIX + length).freeze();
        message.advance(PREFIX);
        Ok(Some(message))
    }
}

/// What an error of the library means.
pub(super) fn end_of(error: &h2::Error) -> End {
    match error.reason() {
        // Streams that a GOAWAY leaves out end with it; those that it covers go on.
        Some(_) if error.is_go_away() && error.is_remote() => End::BehindGoaway,
        Some(reason) if error.is_reset() && error.is_remote() => End::Reset(reason),
        // Ours: what came could not be read.
        Some(_) => End::NoGrpc,
        None => End::Connection,
    }
}

/// The status in a head or in trailers: whether it is good, and what the server says if it is not.
pub(super) fn status(headers: &HeaderMap) -> Option<Result<(), (Said, Option<crate::proto::Load>)>> {
    let code = headers.get("grpc-status")?.to_str().ok()?.parse::<i32>().ok()?;
    if code == 0 {
        return Some(Ok(()));
    }
    let never = details(headers).unwrap_or_default();
    let said = match never.why() {
        Why::TurnedAway => Said::TurnedAway,
        Why::StateLost => Said::StateLost,
        Why::Unspecified => Said::Nothing,
    };
    Some(Err((said, never.load)))
}

fn details(headers: &HeaderMap) -> Option<NeverRan> {
    let text = headers.get("grpc-status-details-bin")?.as_bytes();
    let bytes = STANDARD_NO_PAD.decode(text).or_else(|_| STANDARD.decode(text)).ok()?;
    let status = RpcStatus::decode(&bytes[..]).ok()?;
    let detail = status.details.into_iter().find(|d| d.type_url == DETAIL)?;
    NeverRan::decode(&detail.value[..]).ok()
}

/// The header that says that a request never ran here, for a server to put beside its status.
pub fn never_ran(code: i32, message: &str, why: NeverRan) -> String {
    let detail = prost_types::Any { type_url: DETAIL.into(), value: why.encode_to_vec() };
    let status = RpcStatus { code, message: message.into(), details: vec![detail] };
    STANDARD_NO_PAD.encode(status.encode_to_vec())
}
