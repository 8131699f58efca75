//! Response bodies of the fronts: a complete text, or a stream of a server's events.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail_core::{AnswerStream, EventStream, StreamBroken};

use super::chat::ChatStream;
use super::clients::OpenRequestGuard;
use http_body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// The body of a response.
pub enum ResponseBody<E: EventStream> {
    /// A complete body, sent at once.
    Full(Option<Bytes>),
    /// Events as they arrive. A broken stream is an error, on which hyper closes the connection without the
    /// last chunk.
    Events(AnswerStream<E>),
    /// Events as they arrive, for a client of the chat API.
    Chat(ChatStream<E>),
}

impl<E: EventStream> Body for ResponseBody<E> {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Events(events) => events.poll_next(cx).map(|next| next.map(|r| r.map(Frame::data))),
            ResponseBody::Chat(events) => events.poll_next(cx).map(|next| next.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.is_none(),
            ResponseBody::Events(events) => events.is_finished(),
            // The end of the stream is known only once it has been polled.
            ResponseBody::Chat(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            ResponseBody::Events(_) | ResponseBody::Chat(_) => SizeHint::default(),
        }
    }
}

/// A body that keeps its request open, and counts as a response in progress, until it has been sent or
/// dropped.
pub(super) struct TrackedBody<E: EventStream> {
    body: ResponseBody<E>,
    _open_request: OpenRequestGuard,
    _in_progress: TaskTrackerToken,
}

impl<E: EventStream> TrackedBody<E> {
    pub(super) fn new(
        body: ResponseBody<E>,
        open_request: OpenRequestGuard,
        in_progress: TaskTrackerToken,
    ) -> Self {
        TrackedBody { body, _open_request: open_request, _in_progress: in_progress }
    }
}

impl<E: EventStream> Body for TrackedBody<E> {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The response of a front; a front has no errors of its own.
pub type ServiceResult<E> = Result<Response<ResponseBody<E>>, Infallible>;

/// Creates a response with a complete body.
pub(super) fn full_response<E: EventStream>(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<ResponseBody<E>> {
    let mut response = Response::new(ResponseBody::Full(Some(text.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Creates a response that streams events.
pub(super) fn event_stream_response<E: EventStream>(stream: ResponseBody<E>) -> Response<ResponseBody<E>> {
    let mut response = Response::new(stream);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// Sets a retry header, whose value `format` writes as the client's protocol has it; sets none if the time is
/// zero.
pub(super) fn set_retry_after<E: EventStream>(
    response: &mut Response<ResponseBody<E>>,
    name: HeaderName,
    retry_after: Duration,
    format: impl FnOnce(Duration) -> String,
) {
    if let Ok(value) = HeaderValue::try_from(format(retry_after)) {
        if !retry_after.is_zero() {
            response.headers_mut().insert(name, value);
        }
    }
}
