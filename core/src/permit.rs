//! The permit to send an attempt, checked once more right before its bytes are written.
//!
//! Between a decision and the write, an attempt may wait for a release, for a slow connection or for a
//! stalled process. Meanwhile its server may begin to drain or restart, or the window in which the request
//! may be repeated may end.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use frosttrail::{Health, Id, ListUpdateKind, Micros, ServerEntry};

use crate::clock::Clock;
use crate::metrics::Metrics;

/// Why an attempt that had been decided was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WithheldReason {
    /// Its server began to drain, was removed or was excluded in the meantime.
    #[error("the server accepts no new attempts")]
    ServerClosed,
    /// Its server has restarted, and its slow start has a budget of its own.
    #[error("the server has restarted since the decision")]
    ServerRestarted,
    /// The window in which the request may be repeated has ended.
    #[error("the window for repeating the request is over")]
    WindowOver,
    /// Its client does not wait any longer.
    #[error("the request's deadline has passed")]
    DeadlineOver,
    /// The request has its final answer, or its client has gone.
    #[error("the request has ended")]
    RequestEnded,
}

impl WithheldReason {
    /// The label value in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            WithheldReason::ServerClosed => "server_closed",
            WithheldReason::ServerRestarted => "server_restarted",
            WithheldReason::WindowOver => "window_over",
            WithheldReason::DeadlineOver => "deadline_over",
            WithheldReason::RequestEnded => "request_ended",
        }
    }
}

/// The servers that may get new attempts, with their start times. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmittingServers(Arc<RwLock<HashMap<Id, Micros>>>);

impl AdmittingServers {
    /// Applies an update of the list of servers, as the decisions see it.
    pub(crate) fn apply_update(&self, kind: ListUpdateKind, entries: &[ServerEntry]) {
        let mut servers = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if matches!(kind, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
            servers.clear();
        }
        for entry in entries {
            match entry.health {
                Health::Up => servers.insert(entry.server.clone(), entry.started),
                Health::Draining | Health::Gone => servers.remove(&entry.server),
            };
        }
    }

    /// Stops new attempts to a server from now on.
    pub(crate) fn remove(&self, server: &Id) {
        self.0.write().unwrap_or_else(PoisonError::into_inner).remove(server);
    }

    fn started_at(&self, server: &Id) -> Option<Micros> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).get(server).copied()
    }

    /// Issues a permit for an attempt that was decided under these conditions.
    pub(crate) fn issue_permit(
        &self,
        conditions: PermitConditions,
        clock: Clock,
        metrics: Metrics,
    ) -> SendPermit {
        SendPermit(Some(Arc::new(ConditionalPermit {
            admitting_servers: self.clone(),
            conditions,
            clock,
            metrics,
        })))
    }
}

/// The conditions under which an attempt was decided.
#[derive(Debug)]
pub(crate) struct PermitConditions {
    pub(crate) server: Id,
    /// The server's start time as the decisions knew it; `None` if it took no new attempts at that time.
    pub(crate) server_started_at: Option<Micros>,
    /// Nothing may be written from this time on, as it would be a repeat outside of its window.
    pub(crate) send_by: Option<Micros>,
    /// When the client stops waiting.
    pub(crate) deadline: Micros,
    /// Set once the request has ended.
    pub(crate) has_ended: Arc<AtomicBool>,
}

/// The permit to send one attempt.
#[derive(Clone)]
pub struct SendPermit(Option<Arc<ConditionalPermit>>);

struct ConditionalPermit {
    admitting_servers: AdmittingServers,
    conditions: PermitConditions,
    clock: Clock,
    metrics: Metrics,
}

impl std::fmt::Debug for SendPermit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            None => f.write_str("SendPermit(unconditional)"),
            Some(permit) => write!(f, "SendPermit({:?})", permit.conditions),
        }
    }
}

impl SendPermit {
    /// A permit that always allows the attempt, for callers that have no list of servers.
    pub fn unconditional() -> Self {
        SendPermit(None)
    }

    /// To be called right before the first byte is written. An attempt that is withheld has not been sent,
    /// and its server is not to blame.
    pub fn check(&self) -> Result<(), WithheldReason> {
        let Some(permit) = &self.0 else { return Ok(()) };
        permit.check().inspect_err(|reason| permit.metrics.count_withheld(*reason))
    }
}

impl ConditionalPermit {
    fn check(&self) -> Result<(), WithheldReason> {
        let PermitConditions { server, server_started_at, send_by, deadline, has_ended } = &self.conditions;
        if has_ended.load(Ordering::Relaxed) {
            return Err(WithheldReason::RequestEnded);
        }
        let now = self.clock.now();
        if now >= *deadline {
            return Err(WithheldReason::DeadlineOver);
        }
        let listed_start = self.admitting_servers.started_at(server);
        if listed_start.is_none() {
            return Err(WithheldReason::ServerClosed);
        }
        if listed_start != *server_started_at {
            return Err(WithheldReason::ServerRestarted);
        }
        match send_by {
            Some(send_by) if now >= *send_by => Err(WithheldReason::WindowOver),
            _ => Ok(()),
        }
    }
}
