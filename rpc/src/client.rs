//! The interface for programs that choose servers in their own process: a request is answered with a stream
//! of events or with a typed error. Dropping the call or the stream cancels the request.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, Query};
use frosttrail_core::{Answer as FinalAnswer, AnswerStream, CallError, Conductor, Request, StreamBroken};
use futures_core::Stream;

use crate::proto;
use crate::upstream::{EncodedRequest, GrpcAnswer, GrpcUpstream};

/// A request to generate an answer.
#[derive(Clone, Debug, Default)]
pub struct GenerateRequest {
    /// Identifier, which must be new for each request, including retries.
    pub id: String,
    /// Name of the class in the settings. If in doubt, use one whose requests are never sent twice.
    pub class: String,
    /// Identifier of the conversation.
    pub conversation: String,
    /// Identifier of a prefix that the prompt shares with other conversations, and its length in tokens.
    pub prefix: Option<(String, u64)>,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// Maximum time to wait for the first event.
    pub first_event_timeout: Duration,
    /// Whether this is a retry of an earlier request.
    pub is_client_retry: bool,
    /// Whether this asks for the rest of a stream that broke.
    pub resumes_stream: bool,
    /// The application's request, which the conductor passes on unchanged.
    pub body: Bytes,
}

/// The reason why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GenerateError {
    /// The request has not run, so a retry is safe.
    #[error("refused before it ran; retry after {retry_after:?}")]
    Refused {
        /// When to retry; zero if there is no advice.
        retry_after: Duration,
    },
    /// The request may have run.
    #[error("failed; the request may have run")]
    Failed,
    /// Another request with this id has not ended.
    #[error("another request with this id has not ended")]
    IdInUse,
    /// A request with this id has ended and may have taken effect.
    #[error("a request with this id may have taken effect; use a new id")]
    IdUsed,
    /// The settings have no class of this name.
    #[error("unknown class; use one of the settings")]
    UnknownClass,
    /// The id or the conversation is missing or too long, or the request is too long.
    #[error("id and conversation must have 1 to 1,024 bytes, and the request at most 256 KiB")]
    InvalidSize,
}

/// Maximum length of a request's or a conversation's id.
const MAX_ID_BYTES: usize = 1_024;

/// A client of a conductor in this process.
#[derive(Clone)]
pub struct Client {
    conductor: Conductor<GrpcUpstream>,
}

impl Client {
    /// Creates a client of a conductor.
    pub fn new(conductor: Conductor<GrpcUpstream>) -> Self {
        Client { conductor }
    }

    /// Sends a request. Resolves with the stream once its first event has arrived, or with the final error.
    pub async fn generate(&self, request: GenerateRequest) -> Result<AnswerEvents, GenerateError> {
        let request = self.to_conductor_request(request)?;
        match self.conductor.call(request).await {
            Ok(FinalAnswer::Served(events)) => Ok(AnswerEvents(events)),
            Ok(FinalAnswer::Refused { retry_after, .. }) => Err(GenerateError::Refused { retry_after }),
            Ok(FinalAnswer::Failed { .. }) => Err(GenerateError::Failed),
            Err(CallError::IdInUse) => Err(GenerateError::IdInUse),
            Err(CallError::IdUsed) => Err(GenerateError::IdUsed),
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

/// The events of an answer. It ends without an error only if the server's stream ended with its last event.
#[derive(Debug)]
pub struct AnswerEvents(AnswerStream<GrpcAnswer>);

impl Stream for AnswerEvents {
    type Item = Result<Bytes, StreamBroken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_next(cx)
    }
}
