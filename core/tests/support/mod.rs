//! What the tests of the core share: a list that is told once, a request, and paused time.
#![allow(dead_code)]

use std::future::Future;
use std::sync::Arc;

use std::task::{Context, Poll};

use frosttrail::{Class, Effect, Entry, Health, Query};
use frosttrail_core::{Events, MemberList, News, Step};
use tokio::sync::mpsc;

/// One list, and no news after it.
pub struct Fixed(pub Option<News>);

impl MemberList for Fixed {
    async fn next(&mut self) -> Option<News> {
        match self.0.take() {
            Some(news) => Some(news),
            None => std::future::pending().await,
        }
    }
}

/// News as the test tells them.
pub struct Told(pub mpsc::UnboundedReceiver<News>);

impl MemberList for Told {
    async fn next(&mut self) -> Option<News> {
        self.0.recv().await
    }
}

/// An answer that is over as it begins.
pub struct NoEvents;

impl Events for NoEvents {
    fn poll_step(&mut self, _: &mut Context<'_>) -> Poll<Step> {
        Poll::Ready(Step::End)
    }
}

/// A line of the list.
pub fn entry(name: &str, kind: usize, health: Health) -> Entry {
    Entry { server: name.into(), cell: 0, kind, zone: 0, started: 0, health }
}

/// One that may be repeated, and one that may not.
pub fn classes() -> [Arc<Class>; 2] {
    let book = Class { name: "book".into(), effect: Effect::Unsafe, ..Class::example() };
    [Class::example(), book].map(Arc::new)
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
        resent: false,
        came_back: false,
    }
}

pub fn paused<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(test)
}
