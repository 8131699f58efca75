//! In what order held requests leave: shortest prompt first, starved ones ahead, one at a time.

use super::*;

/// Held this long is starved, or for this share of the time after which it is given up.
const STARVATION_AGE: Micros = 2_000_000;
const STARVATION_SHARE: f64 = 0.7;
/// One starved request leaves ahead in this time, in more where parts are below one request.
const PROMOTION_INTERVAL: Micros = 100_000;
/// Once an event has cost so many looks at servers, the requests behind are tried with the next one.
const MAX_SCANS_PER_EVENT: u64 = 50_000;

/// A held request; they leave in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuedRequest {
    late: bool,
    prompt_tokens: u64,
    arrived: Micros,
    id: Id,
    last_start: Micros,
}

impl Router {
    /// Lets those leave that can.
    pub(super) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        if self.queued.is_empty() {
            return;
        }
        let order = self.dispatch_order();
        let ahead = order.first().map(|first| first.id.clone());
        // Those before were tried with the event before.
        let tried = std::mem::take(&mut self.tried_count).min(order.len());
        let max_scan_count = self.scan_count() + MAX_SCANS_PER_EVENT;
        for (nth, QueuedRequest { arrived, id, .. }) in order.into_iter().enumerate().skip(tried) {
            if self.scan_count() > max_scan_count {
                self.tried_count = nth;
                return;
            }
            if self.try_dispatch(&id, actions)
                && Some(&id) == ahead.as_ref()
                && self.now > arrived + STARVATION_AGE / 4
            {
                self.promoted_at = self.now;
            }
        }
    }

    fn dispatch_order(&self) -> Vec<QueuedRequest> {
        let waiting = |id: &Id| {
            let r = self.requests.get(id)?;
            let last_start = self.latest_start(r);
            let (late, prompt_tokens) = (self.now >= last_start, r.query.prompt_tokens);
            Some(QueuedRequest { late, prompt_tokens, arrived: r.arrived_at, id: id.clone(), last_start })
        };
        let mut order: Vec<QueuedRequest> = self.queued.iter().filter_map(waiting).collect();
        order.sort_unstable();
        if self.now
            >= self.promoted_at
                + (PROMOTION_INTERVAL as f64 / self.own_share(PREFILL_SLOTS).min(1.0)) as Micros
        {
            let starved = |one: &QueuedRequest| {
                let time = one.last_start.saturating_sub(one.arrived) as f64 * STARVATION_SHARE;
                !one.late && self.now >= one.arrived + STARVATION_AGE.min(time as Micros)
            };
            // The longest of them, as no other way leads past the shorter ones.
            if let Some(i) = order.iter().rposition(starved) {
                order[..=i].rotate_right(1);
            }
        }
        order
    }

    /// Sends a held request, or asks the server that would get it; true if it has left.
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
        let sent = self.send(id, server_index, actions);
        if sent {
            self.queued.remove(id);
        }
        sent
    }
}
