//! Letting go of what servers hold for a request.

use std::sync::Arc;
use std::time::Duration;

use frosttrail::Id;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use crate::traits::Upstream;

/// One server has this long to take the call.
const EACH: Duration = Duration::from_millis(200);
/// So many servers are asked at once at most.
const AT_ONCE: usize = 4;
/// After one that said no.
const PAUSE: Duration = Duration::from_millis(5);

/// Calls servers until one has taken the release, or `within` has passed; gives that one. Any server can
/// let go of all that is held for a request, wherever it is. One that has not answered within `pace` keeps
/// its time, and the next is asked beside it: a zone that is silent must not use up the time of the rule.
pub(crate) async fn release<B: Upstream>(
    upstream: Arc<B>,
    id: Id,
    order: Vec<Id>,
    pace: Duration,
    within: Duration,
) -> Option<Id> {
    let end = Instant::now() + within;
    let rounds = async {
        let (mut turn, mut due) = (order.into_iter().cycle(), Instant::now());
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(taken) = calls.join_next() => match taken {
                    Ok(Some(server)) => return Some(server),
                    _ => due = due.min(Instant::now() + PAUSE),
                },
                () = sleep_until(due), if calls.len() < AT_ONCE => {
                    let (server, id, upstream) = (turn.next()?, id.clone(), upstream.clone());
                    calls.spawn(async move {
                        let taken = timeout(EACH, upstream.release(&server, &id)).await == Ok(true);
                        taken.then_some(server)
                    });
                    due = Instant::now() + pace;
                }
            }
        }
    };
    timeout_at(end, rounds).await.unwrap_or(None)
}
