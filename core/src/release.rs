//! Letting go of what boxes hold for a request.

use std::sync::Arc;
use std::time::Duration;

use frosttrail::Id;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::traits::Boxes;

/// One box has this long to take the call: a cut-off one must not use up the time of the rule.
const EACH: Duration = Duration::from_millis(200);
/// Between rounds over all boxes.
const PAUSE: Duration = Duration::from_millis(20);

/// Calls boxes in turn until one has taken the release, or `within` has passed. Any box can let go of all
/// that is held for a request, wherever it is; those it was sent to come first. True if it arrived.
pub(crate) async fn release<B: Boxes>(boxes: Arc<B>, id: Id, order: Vec<Id>, within: Duration) -> bool {
    let end = Instant::now() + within;
    let rounds = async {
        loop {
            for worker in &order {
                if timeout(EACH, boxes.release(worker, &id)).await == Ok(true) {
                    return true;
                }
            }
            sleep(PAUSE).await;
        }
    };
    timeout_at(end, rounds).await.unwrap_or(false)
}
