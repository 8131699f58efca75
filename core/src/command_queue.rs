//! The way to the dispatcher: what has become of open requests goes ahead of new ones, and whoever sends can
//! tell how long a new one would wait.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use frosttrail::Micros;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::command::Command;

/// So many commands of open requests are taken in a row while new ones wait.
const URGENT_IN_A_ROW: u32 = 64;
/// Weight of the latest command in what one costs, as one part of so many.
const COST_PARTS: u64 = 8;

/// What a command has taken counts for so many times the usual at most, and this many microseconds.
const OUTLIER_TIMES: u64 = 4;
const OUTLIER_LEAST: u64 = 1_000;

/// A command and when it was sent.
#[derive(Debug)]
struct Queued {
    command: Command,
    at: Micros,
}

/// How far the dispatcher is behind.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    waiting: AtomicUsize,
    /// Nothing that waits is older.
    oldest: AtomicU64,
    /// What a command has cost of late, in microseconds.
    cost: AtomicU64,
}

impl Backlog {
    fn added(&self, now: Micros) {
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.oldest.store(now, Ordering::Relaxed);
        }
    }

    /// The command in work counts as waiting until it is done.
    fn done(&self, sent_at: Micros, took: Duration) {
        let cost = self.cost.load(Ordering::Relaxed);
        // One command beside which the process was held up says little of the next ones.
        let took = (took.as_micros() as u64).min(OUTLIER_TIMES * cost + OUTLIER_LEAST);
        self.cost.store((cost * (COST_PARTS - 1) + took) / COST_PARTS, Ordering::Relaxed);
        self.oldest.fetch_max(sent_at, Ordering::Relaxed);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// How many commands wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// How long a command that is sent now is likely to wait.
    pub(crate) fn expected_wait(&self) -> Micros {
        (self.waiting() as u64).saturating_mul(self.cost.load(Ordering::Relaxed))
    }

    /// The age of the oldest command that waits, or of one that was taken just before it.
    pub(crate) fn age(&self, now: Micros) -> Micros {
        match self.waiting() {
            0 => 0,
            _ => now.saturating_sub(self.oldest.load(Ordering::Relaxed)),
        }
    }
}

/// Sends commands. The dispatcher runs for as long as there is a sender.
#[derive(Clone, Debug)]
pub(crate) struct CommandSender {
    urgent: mpsc::UnboundedSender<Queued>,
    new: mpsc::UnboundedSender<Queued>,
    backlog: Arc<Backlog>,
    clock: Clock,
}

/// Sends commands as long as the dispatcher runs for others.
#[derive(Clone, Debug)]
pub(crate) struct WeakCommandSender {
    urgent: mpsc::WeakUnboundedSender<Queued>,
    new: mpsc::WeakUnboundedSender<Queued>,
    backlog: Arc<Backlog>,
    clock: Clock,
}

/// The dispatcher's end.
#[derive(Debug)]
pub(crate) struct CommandReceiver {
    urgent: mpsc::UnboundedReceiver<Queued>,
    new: mpsc::UnboundedReceiver<Queued>,
    urgent_in_a_row: u32,
    backlog: Arc<Backlog>,
}

/// A command that is worked on; its end is noted as it is dropped.
#[derive(Debug)]
pub(crate) struct Taken {
    sent_at: Micros,
    backlog: Arc<Backlog>,
}

impl Taken {
    /// When it was sent.
    pub(crate) fn sent_at(&self) -> Micros {
        self.sent_at
    }

    /// It is done, and took so long.
    pub(crate) fn done(self, took: Duration) {
        self.backlog.done(self.sent_at, took);
    }
}

/// A queue that is empty.
pub(crate) fn commands(clock: Clock) -> (CommandSender, CommandReceiver) {
    let (urgent_sender, urgent) = mpsc::unbounded_channel();
    let (new_sender, new) = mpsc::unbounded_channel();
    let backlog = Arc::new(Backlog::default());
    let sender = CommandSender { urgent: urgent_sender, new: new_sender, backlog: backlog.clone(), clock };
    (sender, CommandReceiver { urgent, new, urgent_in_a_row: 0, backlog })
}

impl CommandSender {
    /// Sends a command. One that comes after the dispatcher's end is dropped.
    pub(crate) fn send(&self, command: Command) {
        let at = self.clock.now();
        self.backlog.added(at);
        let lane = if matches!(command, Command::Open(_)) { &self.new } else { &self.urgent };
        // The dispatcher runs for as long as there is a sender, and this is one.
        let _ = lane.send(Queued { command, at });
    }

    /// How far the dispatcher is behind.
    pub(crate) fn backlog(&self) -> &Arc<Backlog> {
        &self.backlog
    }

    pub(crate) fn downgrade(&self) -> WeakCommandSender {
        let (backlog, clock) = (self.backlog.clone(), self.clock);
        WeakCommandSender { urgent: self.urgent.downgrade(), new: self.new.downgrade(), backlog, clock }
    }
}

impl WeakCommandSender {
    /// `None` once the dispatcher has no other sender.
    pub(crate) fn upgrade(&self) -> Option<CommandSender> {
        let (backlog, clock) = (self.backlog.clone(), self.clock);
        Some(CommandSender { urgent: self.urgent.upgrade()?, new: self.new.upgrade()?, backlog, clock })
    }
}

impl CommandReceiver {
    /// How far the dispatcher is behind.
    pub(crate) fn backlog(&self) -> Arc<Backlog> {
        self.backlog.clone()
    }

    /// The next command; `None` once there is no sender. What has become of open requests, news and signals
    /// go ahead of new requests, but not for ever.
    pub(crate) async fn recv(&mut self) -> Option<(Command, Taken)> {
        if self.urgent_in_a_row >= URGENT_IN_A_ROW {
            self.urgent_in_a_row = 0;
            if let Ok(queued) = self.new.try_recv() {
                return Some(self.taken(queued));
            }
        }
        let queued = tokio::select! {
            biased;
            queued = self.urgent.recv() => {
                self.urgent_in_a_row += 1;
                queued?
            }
            Some(queued) = self.new.recv() => {
                self.urgent_in_a_row = 0;
                queued
            }
        };
        Some(self.taken(queued))
    }

    fn taken(&self, Queued { command, at }: Queued) -> (Command, Taken) {
        (command, Taken { sent_at: at, backlog: self.backlog.clone() })
    }
}

#[cfg(test)]
#[path = "../tests/unit/command_queue.rs"]
mod tests;
