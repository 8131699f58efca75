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
const MAX_URGENT_IN_A_ROW: u32 = 64;
/// Weight of the latest command in what one costs, as one part of so many.
const COST_AVERAGE_DIVISOR: u64 = 8;

/// What a command has taken counts for so many times the usual at most, and this many microseconds.
const MAX_COST_MULTIPLE: u64 = 4;
const COST_ALLOWANCE_US: u64 = 1_000;

/// A command and when it was sent.
#[derive(Debug)]
struct QueuedCommand {
    command: Command,
    sent_at: Micros,
}

/// How far the dispatcher is behind.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    waiting: AtomicUsize,
    /// Nothing that waits is older.
    oldest_sent_at: AtomicU64,
    /// What a command has cost of late, in microseconds.
    average_cost_us: AtomicU64,
}

impl Backlog {
    fn record_sent(&self, now: Micros) {
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.oldest_sent_at.store(now, Ordering::Relaxed);
        }
    }

    /// The command in work counts as waiting until it is done.
    fn record_done(&self, sent_at: Micros, took: Duration) {
        let average_us = self.average_cost_us.load(Ordering::Relaxed);
        // One command beside which the process was held up says little of the next ones.
        let cost_us = (took.as_micros() as u64).min(MAX_COST_MULTIPLE * average_us + COST_ALLOWANCE_US);
        self.average_cost_us.store(
            (average_us * (COST_AVERAGE_DIVISOR - 1) + cost_us) / COST_AVERAGE_DIVISOR,
            Ordering::Relaxed,
        );
        self.oldest_sent_at.fetch_max(sent_at, Ordering::Relaxed);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// How many commands wait.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// How long a command that is sent now is likely to wait.
    pub(crate) fn expected_wait(&self) -> Micros {
        (self.waiting_count() as u64).saturating_mul(self.average_cost_us.load(Ordering::Relaxed))
    }

    /// The age of the oldest command that waits, or of one that was taken just before it.
    pub(crate) fn oldest_age(&self, now: Micros) -> Micros {
        match self.waiting_count() {
            0 => 0,
            _ => now.saturating_sub(self.oldest_sent_at.load(Ordering::Relaxed)),
        }
    }
}

/// Sends commands. The dispatcher runs for as long as there is a sender.
#[derive(Clone, Debug)]
pub(crate) struct CommandSender {
    urgent: mpsc::UnboundedSender<QueuedCommand>,
    new: mpsc::UnboundedSender<QueuedCommand>,
    backlog: Arc<Backlog>,
    clock: Clock,
}

/// Sends commands as long as the dispatcher runs for others.
#[derive(Clone, Debug)]
pub(crate) struct WeakCommandSender {
    urgent: mpsc::WeakUnboundedSender<QueuedCommand>,
    new: mpsc::WeakUnboundedSender<QueuedCommand>,
    backlog: Arc<Backlog>,
    clock: Clock,
}

/// The dispatcher's end.
#[derive(Debug)]
pub(crate) struct CommandReceiver {
    urgent: mpsc::UnboundedReceiver<QueuedCommand>,
    new: mpsc::UnboundedReceiver<QueuedCommand>,
    urgent_in_a_row: u32,
    backlog: Arc<Backlog>,
}

/// A command that is worked on; its end is noted as it is dropped.
#[derive(Debug)]
pub(crate) struct CommandInProgress {
    sent_at: Micros,
    backlog: Arc<Backlog>,
}

impl CommandInProgress {
    /// When it was sent.
    pub(crate) fn sent_at(&self) -> Micros {
        self.sent_at
    }

    /// It is done, and took so long.
    pub(crate) fn finish(self, took: Duration) {
        self.backlog.record_done(self.sent_at, took);
    }
}

/// A queue that is empty.
pub(crate) fn command_queue(clock: Clock) -> (CommandSender, CommandReceiver) {
    let (urgent_sender, urgent) = mpsc::unbounded_channel();
    let (new_sender, new) = mpsc::unbounded_channel();
    let backlog = Arc::new(Backlog::default());
    let sender = CommandSender { urgent: urgent_sender, new: new_sender, backlog: backlog.clone(), clock };
    (sender, CommandReceiver { urgent, new, urgent_in_a_row: 0, backlog })
}

impl CommandSender {
    /// Sends a command. One that comes after the dispatcher's end is dropped.
    pub(crate) fn send(&self, command: Command) {
        let sent_at = self.clock.now();
        self.backlog.record_sent(sent_at);
        let queue = if matches!(command, Command::Submit(_)) { &self.new } else { &self.urgent };
        // The dispatcher runs for as long as there is a sender, and this is one.
        let _ = queue.send(QueuedCommand { command, sent_at });
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
    pub(crate) async fn recv(&mut self) -> Option<(Command, CommandInProgress)> {
        if self.urgent_in_a_row >= MAX_URGENT_IN_A_ROW {
            self.urgent_in_a_row = 0;
            if let Ok(queued) = self.new.try_recv() {
                return Some(self.begin(queued));
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
        Some(self.begin(queued))
    }

    fn begin(&self, QueuedCommand { command, sent_at }: QueuedCommand) -> (Command, CommandInProgress) {
        (command, CommandInProgress { sent_at, backlog: self.backlog.clone() })
    }
}

#[cfg(test)]
#[path = "../tests/unit/command_queue.rs"]
mod tests;
