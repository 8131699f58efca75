//! Order of the queue: shortest prompt first, with one starved request at a time ahead of the others.

use super::*;

/// Time in the queue after which a request counts as starved.
const STARVATION_AGE: Micros = 2_000_000;
/// A request is starved earlier if it has waited for this share of the time after which it is given up.
const STARVATION_SHARE: f64 = 0.7;
/// Interval at which one starved request is sent ahead of the others; longer where shares are fractional.
const PROMOTION_INTERVAL: Micros = 100_000;
/// Servers scanned during one event after which the remaining requests wait for the next event.
const MAX_SCANS_PER_EVENT: u64 = 50_000;

/// A queued request. Derives `Ord`: the order of the fields is the order of the queue.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuedRequest {
    is_late: bool,
    prompt_tokens: u64,
    arrived_at: Micros,
    id: Id,
    latest_start: Micros,
}

impl Router {
    /// Sends the queued requests for which a server has room.
    pub(super) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        if self.queued.is_empty() {
            return;
        }
        let order = self.dispatch_order();
        let first = order.first().map(|first| first.id.clone());
        // The previous event tried the requests before this position.
        let tried_count = std::mem::take(&mut self.tried_count).min(order.len());
        let max_scan_count = self.scan_count() + MAX_SCANS_PER_EVENT;
        for (position, QueuedRequest { arrived_at, id, .. }) in
            order.into_iter().enumerate().skip(tried_count)
        {
            if self.scan_count() > max_scan_count {
                self.tried_count = position;
                return;
            }
            if self.try_dispatch(&id, actions)
                && Some(&id) == first.as_ref()
                && self.now > arrived_at + STARVATION_AGE / 4
            {
                self.promoted_at = self.now;
            }
        }
    }

    fn dispatch_order(&self) -> Vec<QueuedRequest> {
        let entry = |id: &Id| {
            let request = self.requests.get(id)?;
            let latest_start = self.latest_start(request);
            let (is_late, prompt_tokens) = (self.now >= latest_start, request.query.prompt_tokens);
            Some(QueuedRequest {
                is_late,
                prompt_tokens,
                arrived_at: request.arrived_at,
                id: id.clone(),
                latest_start,
            })
        };
        let mut order: Vec<QueuedRequest> = self.queued.iter().filter_map(entry).collect();
        order.sort_unstable();
        if self.now
            >= self.promoted_at
                + (PROMOTION_INTERVAL as f64 / self.own_share(PREFILL_SLOTS).min(1.0)) as Micros
        {
            let is_starved = |request: &QueuedRequest| {
                let max_wait =
                    request.latest_start.saturating_sub(request.arrived_at) as f64 * STARVATION_SHARE;
                !request.is_late && self.now >= request.arrived_at + STARVATION_AGE.min(max_wait as Micros)
            };
            // The starved request with the longest prompt, because all shorter ones come before it otherwise.
            if let Some(position) = order.iter().rposition(is_starved) {
                order[..=position].rotate_right(1);
            }
        }
        order
    }

    /// Sends a queued request, or probes the server that would get it; true if the request was sent.
    fn try_dispatch(&mut self, id: &Id, actions: &mut Vec<Action>) -> bool {
        let Some(server_index) = self.requests.get(id).and_then(|request| self.choose_server(request)) else {
            return false;
        };
        if self.uses_load_probes()
            && self.servers[server_index].role == Stage::Prefill
            && self.reported_outstanding(server_index).is_none()
        {
            if !std::mem::replace(&mut self.servers[server_index].has_probe_in_flight, true) {
                actions.push(Action::Probe { server: self.servers[server_index].id.clone() });
            }
            return false;
        }
        let was_sent = self.send(id, server_index, actions);
        if was_sent {
            self.queued.remove(id);
        }
        was_sent
    }
}
