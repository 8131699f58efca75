//! What a program sees that chooses servers in its own process: a request goes in, a stream of events or a
//! typed error comes out. Dropping the call, or the stream, gives the request up.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, Query};
use frosttrail_core::{Answer as FinalAnswer, AnswerStream, CallError, Conductor, Request, StreamBroken};
use futures_core::Stream;

use crate::proto;
use crate::upstream::{EncodedRequest, GrpcAnswer, GrpcUpstream};

/// A request.
#[derive(Clone, Debug, Default)]
pub struct GenerateRequest {
    /// Fresh on every try, a repeat included.
    pub id: String,
    /// The class, as the settings name it. One that is never sent twice is what to take where in doubt.
    pub class: String,
    /// The conversation.
    pub conversation: String,
    /// Names an opening that the prompt shares with other conversations, and its length in tokens.
    pub prefix: Option<(String, u64)>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_tokens: u64,
    /// How long the first event is waited for.
    pub first_event_timeout: Duration,
    /// A repeat of an earlier try.
    pub is_client_retry: bool,
    /// Back for the rest of a stream that broke.
    pub resumes_stream: bool,
    /// What the server needs to read.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GenerateError {
    /// It has not run; trying again is harmless.
    #[error("refused; come back after {retry_after:?}")]
    Refused {
        /// When to come back; zero for no advice.
        retry_after: Duration,
    },
    /// It may have run.
    #[error("failed; it may have run")]
    Failed,
    /// Another request with this id has not ended.
    #[error("a request with this id has not ended")]
    IdInUse,
    /// The settings know no such class.
    #[error("no such class")]
    UnknownClass,
    /// An id, a conversation or a body is longer than may travel, or missing.
    #[error("id and conversation have 1 to 1,024 bytes, the request at most 256 KiB")]
    InvalidSize,
}

/// The longest id of a request or a conversation.
const MAX_ID_BYTES: usize = 1_024;

/// A conductor in this process.
#[derive(Clone)]
pub struct Client {
    conductor: Conductor<GrpcUpstream>,
}

impl Client {
    /// Speaks for a conductor.
    pub fn new(conductor: Conductor<GrpcUpstream>) -> Self {
        Client { conductor }
    }

    /// Takes a request to the first event of its answer, or to its one final error.
    pub async fn generate(&self, request: GenerateRequest) -> Result<AnswerEvents, GenerateError> {
        let request = self.to_conductor_request(request)?;
        match self.conductor.call(request).await {
            Ok(FinalAnswer::Served(events)) => Ok(AnswerEvents(events)),
            Ok(FinalAnswer::Refused { retry_after, .. }) => Err(GenerateError::Refused { retry_after }),
            Ok(FinalAnswer::Failed { .. }) => Err(GenerateError::Failed),
            Err(CallError::IdInUse) => Err(GenerateError::IdInUse),
        }
    }

    fn to_conductor_request(
        &self,
        request: GenerateRequest,
    ) -> Result<Request<EncodedRequest>, GenerateError> {
        let class = self.conductor.settings().class(&request.class).ok_or(GenerateError::UnknownClass)?;
        let has_valid_length = |text: &str| (1..=MAX_ID_BYTES).contains(&text.len());
        if !has_valid_length(&request.id) || !has_valid_length(&request.conversation) {
            return Err(GenerateError::InvalidSize);
        }
        let (prefix, prefix_tokens) = request.prefix.unzip();
        let query = Query {
            id: Id::from(request.id.as_str()),
            session: Id::from(request.conversation.as_str()),
            prefix: prefix.as_deref().map(Id::from),
            prefix_tokens: prefix_tokens.unwrap_or(0),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            class,
            tenant: None,
            budget: request.first_event_timeout.as_micros() as u64,
            is_client_retry: request.is_client_retry,
            resumes_stream: request.resumes_stream,
        };
        let call = EncodedRequest::new(&proto::Request {
            id: request.id,
            class: request.class,
            conversation: request.conversation,
            prefix: prefix.unwrap_or_default(),
            prefix_tokens: query.prefix_tokens,
            prompt_tokens: query.prompt_tokens,
            max_tokens: query.max_tokens,
            body: request.body.to_vec(),
        });
        Ok(Request { query, call: call.ok_or(GenerateError::InvalidSize)? })
    }
}

/// The events of an answer as they come. It ends well only where the server's stream did.
#[derive(Debug)]
pub struct AnswerEvents(AnswerStream<GrpcAnswer>);

impl Stream for AnswerEvents {
    type Item = Result<Bytes, StreamBroken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_next(cx)
    }
}
