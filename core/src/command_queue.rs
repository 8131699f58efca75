//! The queue to the dispatcher. Commands of open requests go ahead of new requests, and senders can tell
//! how long a new request would wait.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use frosttrail::Micros;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::command::Command;

/// Commands other than new requests that are taken in a row while new requests wait.
const MAX_URGENT_IN_A_ROW: u32 = 64;
/// The latest command counts as one part in this many in the moving average of what a command costs.
const COST_AVERAGE_DIVISOR: u64 = 8;

/// The measured cost of one command is capped at this multiple of the average, plus the allowance.
const MAX_COST_MULTIPLE: u64 = 4;
const COST_ALLOWANCE_US: u64 = 1_000;

#[derive(Debug)]
struct QueuedCommand {
    command: Command,
    sent_at: Micros,
}

/// How far the dispatcher is behind.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    waiting: AtomicUsize,
    /// A lower bound for the send time of all waiting commands.
    oldest_sent_at: AtomicU64,
    /// Moving average of the time that one command takes.
    average_cost_us: AtomicU64,
}

impl Backlog {
    fn record_sent(&self, now: Micros) {
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.oldest_sent_at.store(now, Ordering::Relaxed);
        }
    }

    /// Records that a command has been handled. Until then it counts as waiting.
    fn record_done(&self, sent_at: Micros, took: Duration) {
        let average_us = self.average_cost_us.load(Ordering::Relaxed);
        // A single command during which the process was stalled says little about the next ones.
        let cost_us = (took.as_micros() as u64).min(MAX_COST_MULTIPLE * average_us + COST_ALLOWANCE_US);
        self.average_cost_us.store(
            (average_us * (COST_AVERAGE_DIVISOR - 1) + cost_us) / COST_AVERAGE_DIVISOR,
            Ordering::Relaxed,
        );
        self.oldest_sent_at.fetch_max(sent_at, Ordering::Relaxed);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// How many commands wait, the one in progress included.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// How long a command that is sent now is likely to wait.
    pub(crate) fn expected_wait(&self) -> Micros {
        (self.waiting_count() as u64).saturating_mul(self.average_cost_us.load(Ordering::Relaxed))
    }

    /// The age of the oldest waiting command, or of one that was taken shortly before it.
    pub(crate) fn oldest_age(&self, now: Micros) -> Micros {
        match self.waiting_count() {
            0 => 0,
            _ => now.saturating_sub(self.oldest_sent_at.load(Ordering::Relaxed)),
        }
    }
}

/// Sends commands. The dispatcher runs for as long as a sender exists.
#[derive(Clone, Debug)]
pub(crate) struct CommandSender {
    urgent: mpsc::UnboundedSender<QueuedCommand>,
    new: mpsc::UnboundedSender<QueuedCommand>,
    backlog: Arc<Backlog>,
    clock: Clock,
}

/// Sends commands without keeping the dispatcher running.
#[derive(Clone, Debug)]
pub(crate) struct WeakCommandSender {
    urgent: mpsc::WeakUnboundedSender<QueuedCommand>,
    new: mpsc::WeakUnboundedSender<QueuedCommand>,
    backlog: Arc<Backlog>,
    clock: Clock,
}

/// The dispatcher's end of the queue.
#[derive(Debug)]
pub(crate) struct CommandReceiver {
    urgent: mpsc::UnboundedReceiver<QueuedCommand>,
    new: mpsc::UnboundedReceiver<QueuedCommand>,
    urgent_in_a_row: u32,
    backlog: Arc<Backlog>,
}

/// A command that is being handled. It counts as waiting until [`CommandInProgress::finish`].
#[derive(Debug)]
pub(crate) struct CommandInProgress {
    sent_at: Micros,
    backlog: Arc<Backlog>,
}

impl CommandInProgress {
    /// When the command was sent.
    pub(crate) fn sent_at(&self) -> Micros {
        self.sent_at
    }

    /// Records that the command is done and how long it took.
    pub(crate) fn finish(self, took: Duration) {
        self.backlog.record_done(self.sent_at, took);
    }
}

/// Creates an empty queue.
pub(crate) fn command_queue(clock: Clock) -> (CommandSender, CommandReceiver) {
    let (urgent_sender, urgent) = mpsc::unbounded_channel();
    let (new_sender, new) = mpsc::unbounded_channel();
    let backlog = Arc::new(Backlog::default());
    let sender = CommandSender { urgent: urgent_sender, new: new_sender, backlog: backlog.clone(), clock };
    (sender, CommandReceiver { urgent, new, urgent_in_a_row: 0, backlog })
}

impl CommandSender {
    /// Sends a command. It is dropped if the dispatcher has ended.
    pub(crate) fn send(&self, command: Command) {
        let sent_at = self.clock.now();
        self.backlog.record_sent(sent_at);
        let queue = if matches!(command, Command::Submit(_)) { &self.new } else { &self.urgent };
        // Can't fail: the dispatcher runs for as long as a sender exists, and this is one.
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
    /// `None` once no other sender exists.
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

    /// The next command; `None` once no sender exists. Commands of open requests, list updates and control
    /// commands go ahead of new requests, but only [`MAX_URGENT_IN_A_ROW`] at a time.
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
