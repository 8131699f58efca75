//! Shared helpers for the core's tests: sources of members, a request, and paused time.
#![allow(dead_code)]

use std::future::Future;
use std::sync::Arc;

use std::task::{Context, Poll};

use frosttrail::{Effect, Health, Query, RequestClass, ServerEntry};
use frosttrail_core::{EventStream, MembershipSource, MembershipUpdate, StreamStep};
use tokio::sync::mpsc;

/// One list, and no update after it.
pub struct SingleUpdate(pub Option<MembershipUpdate>);

impl MembershipSource for SingleUpdate {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        match self.0.take() {
            Some(update) => Some(update),
            None => std::future::pending().await,
        }
    }
}

/// Updates that the test sends.
pub struct ChannelSource(pub mpsc::UnboundedReceiver<MembershipUpdate>);

impl MembershipSource for ChannelSource {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        self.0.recv().await
    }
}

/// An answer that ends as it begins.
pub struct NoEvents;

impl EventStream for NoEvents {
    fn poll_step(&mut self, _: &mut Context<'_>) -> Poll<StreamStep> {
        Poll::Ready(StreamStep::End)
    }
}

/// An entry of the list.
pub fn entry(name: &str, kind: usize, health: Health) -> ServerEntry {
    ServerEntry { server: name.into(), rack: 0, kind, zone: 0, started: 0, health }
}

/// A class whose requests may be repeated, and one whose requests may not.
pub fn classes() -> [Arc<RequestClass>; 2] {
    let unsafe_class =
        RequestClass { name: "book".into(), effect: Effect::Unsafe, ..RequestClass::example() };
    [RequestClass::example(), unsafe_class].map(Arc::new)
}

/// A request of one of [`classes`].
pub fn query(id: &str, class: usize) -> Query {
    Query {
        id: id.into(),
        session: "s".into(),
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 1_000,
        max_tokens: 100,
        class: classes()[class].clone(),
        tenant: None,
        budget: 5_000_000,
        is_client_retry: false,
        resumes_stream: false,
    }
}

pub fn run_paused<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(test)
}
