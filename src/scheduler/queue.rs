//! In what order held requests leave: shortest prompt first, starved ones ahead, one at a time.

use super::*;

/// Held this long is starved, or for this share of the time after which it is given up.
const STARVED: Micros = 2_000_000;
const STARVED_SHARE: f64 = 0.7;
/// One starved request leaves ahead in this time, in more where parts are below one request.
const PROMOTE_EVERY: Micros = 100_000;

impl Router {
    pub(super) fn release(&mut self, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let line = |id: &Id| {
            let r = self.requests.get(id)?;
            let last = self.last_start(r);
            Some((self.now >= last, r.query.prompt_tokens, r.arrived, id.clone(), last))
        };
        let mut order: Vec<(bool, u64, Micros, Id, Micros)> = self.held.iter().filter_map(line).collect();
        order.sort();
        if self.now >= self.promoted + (PROMOTE_EVERY as f64 / self.part(READ_SLOTS).min(1.0)) as Micros {
            let starved = |(late, _, arrived, _, last): &(bool, u64, Micros, Id, Micros)| {
                let time = last.saturating_sub(*arrived) as f64 * STARVED_SHARE;
                !late && self.now >= arrived + STARVED.min(time as Micros)
            };
            // The longest of them, as no other way leads past the shorter ones.
            if let Some(i) = (0..order.len()).rev().find(|&i| starved(&order[i])) {
                order[..=i].rotate_right(1);
            }
        }
        let ahead = order.first().map(|o| o.3.clone());
        for (_, _, arrived, id, _) in order {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(w) = self.place(request) else { continue };
            if self.asks() && self.servers[w].role == Stage::Read && self.known(w).is_none() {
                if !std::mem::replace(&mut self.servers[w].asked, true) {
                    out.push(Action::Probe { server: self.servers[w].id.clone() });
                }
                continue;
            }
            if self.send(&id, w, out) {
                self.held.retain(|h| *h != id);
                if Some(&id) == ahead.as_ref() && self.now > arrived + STARVED / 4 {
                    self.promoted = self.now;
                }
            }
        }
    }
}
