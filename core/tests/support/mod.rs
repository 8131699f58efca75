//! What the tests of the core share: a list that is told once, a request, and paused time.
#![allow(dead_code)]

use std::future::Future;
use std::sync::Arc;

use frosttrail::{Class, Effect, Query};
use frosttrail_core::{MemberList, News};

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
