//! In what order held requests leave: shortest prompt first, starved ones ahead, one at a time.

use super::*;

/// Held this long is starved, or for this share of the time after which it is given up.
const STARVED: Micros = 2_000_000;
const STARVED_SHARE: f64 = 0.7;
/// One starved request leaves ahead in this time, in more where parts are below one request.
const PROMOTE_EVERY: Micros = 100_000;
/// Once an event has cost so many looks at servers, the requests behind are tried with the next one.
const LOOKS_MOST: u64 = 50_000;

/// A held request; they leave in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    late: bool,
    prompt_tokens: u64,
    arrived: Micros,
    id: Id,
    last_start: Micros,
}

impl Router {
    /// Lets those leave that can.
    pub(super) fn release(&mut self, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let order = self.queue();
        let ahead = order.first().map(|first| first.id.clone());
        // Those before were tried with the event before.
        let tried = std::mem::take(&mut self.tried).min(order.len());
        let looks_most = self.scan_count() + LOOKS_MOST;
        for (nth, Waiting { arrived, id, .. }) in order.into_iter().enumerate().skip(tried) {
            if self.scan_count() > looks_most {
                self.tried = nth;
                return;
            }
            if self.leave(&id, out) && Some(&id) == ahead.as_ref() && self.now > arrived + STARVED / 4 {
                self.promoted = self.now;
            }
        }
    }

    fn queue(&self) -> Vec<Waiting> {
        let waiting = |id: &Id| {
            let r = self.requests.get(id)?;
            let last_start = self.last_start(r);
            let (late, prompt_tokens) = (self.now >= last_start, r.query.prompt_tokens);
            Some(Waiting { late, prompt_tokens, arrived: r.arrived, id: id.clone(), last_start })
        };
        let mut order: Vec<Waiting> = self.held.iter().filter_map(waiting).collect();
        order.sort_unstable();
        if self.now >= self.promoted + (PROMOTE_EVERY as f64 / self.part(READ_SLOTS).min(1.0)) as Micros {
            let starved = |one: &Waiting| {
                let time = one.last_start.saturating_sub(one.arrived) as f64 * STARVED_SHARE;
                !one.late && self.now >= one.arrived + STARVED.min(time as Micros)
            };
            // The longest of them, as no other way leads past the shorter ones.
            if let Some(i) = order.iter().rposition(starved) {
                order[..=i].rotate_right(1);
            }
        }
        order
    }

    /// Sends a held request, or asks the server that would get it; true if it has left.
    fn leave(&mut self, id: &Id, out: &mut Vec<Action>) -> bool {
        let Some(w) = self.requests.get(id).and_then(|request| self.place(request)) else { return false };
        if self.asks() && self.servers[w].role == Stage::Read && self.known(w).is_none() {
            if !std::mem::replace(&mut self.servers[w].asked, true) {
                out.push(Action::Probe { server: self.servers[w].id.clone() });
            }
            return false;
        }
        let sent = self.send(id, w, out);
        if sent {
            self.held.remove(id);
        }
        sent
    }
}
