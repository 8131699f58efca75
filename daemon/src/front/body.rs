//! What a front sends back: a short text, or a server's events.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail_core::{AnswerStream, EventStream, StreamBroken};

use super::chat::ChatStream;
use super::clients::UnderWay;
use http_body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};

/// The body of an answer.
pub enum FrontBody<E: EventStream> {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// Events as they come. A break is an error, on which the library ends the connection without the
    /// last chunk.
    Events(AnswerStream<E>),
    /// The same for a chat client.
    Chat(ChatStream<E>),
}

impl<E: EventStream> Body for FrontBody<E> {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            FrontBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            FrontBody::Events(events) => events.poll_next(cx).map(|next| next.map(|r| r.map(Frame::data))),
            FrontBody::Chat(events) => events.poll_next(cx).map(|next| next.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            FrontBody::Whole(bytes) => bytes.is_none(),
            FrontBody::Events(events) => events.is_finished(),
            // Its end is known only once it has been asked for.
            FrontBody::Chat(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            FrontBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            FrontBody::Events(_) | FrontBody::Chat(_) => SizeHint::default(),
        }
    }
}

/// A body, and the request that is under way until it has gone.
pub(super) struct Held<E: EventStream> {
    body: FrontBody<E>,
    _under_way: UnderWay,
}

impl<E: EventStream> Held<E> {
    pub(super) fn new(body: FrontBody<E>, under_way: UnderWay) -> Self {
        Held { body, _under_way: under_way }
    }
}

impl<E: EventStream> Body for Held<E> {
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

/// A front's answer.
pub type FrontResponse<E> = Result<Response<FrontBody<E>>, Infallible>;

/// A short answer.
pub(super) fn whole<E: EventStream>(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<FrontBody<E>> {
    let mut response = Response::new(FrontBody::Whole(Some(text.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// A stream of events.
pub(super) fn events<E: EventStream>(stream: FrontBody<E>) -> Response<FrontBody<E>> {
    let mut response = Response::new(stream);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// Tells the client when to come back, in the words of its wire; nothing where there is no advice.
pub(super) fn advise<E: EventStream>(
    response: &mut Response<FrontBody<E>>,
    name: HeaderName,
    retry_after: Duration,
    words: impl FnOnce(Duration) -> String,
) {
    if let Ok(value) = HeaderValue::try_from(words(retry_after)) {
        if !retry_after.is_zero() {
            response.headers_mut().insert(name, value);
        }
    }
}
