//! Reads members from the platform's discovery agent: first the last known list, then a watch. The watch is
//! reopened when it ends or falls silent, and moves when the configuration names another agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use frosttrail::setup::{index_of, ConfiguredNames, SetupError};
use frosttrail::{Health, Id, ListUpdateKind, ServerEntry};
use frosttrail_core::{Clock, MembershipSource, MembershipUpdate};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, StatusCode, Uri};
use serde::Deserialize;
use slog::{debug, info, warn, Logger};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tokio_util::task::AbortOnDropHandle;

use super::backoff::{Backoff, CALL_TIMEOUT, WATCH_SILENCE_TIMEOUT};
use super::http::{read_body, send_request, DiscoveryError, OpenResponse};
use super::listing_decoder::{ListingDecoder, MAX_LIST_BYTES};
use super::start_times::StartTimes;
use crate::upstream::AddressTable;

/// A list of members, or a change to it, as discovery sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    rev: u64,
    all: bool,
    targets: Vec<ListEntry>,
}

/// An entry of a list. An invalid one does not keep the valid ones from being applied.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum ListEntry {
    Valid(Target),
    Invalid(serde_json::Value),
}

impl Listing {
    /// Describes the first invalid entry, if there is one.
    pub fn first_error(&self) -> Option<String> {
        self.targets.iter().find_map(|entry| match entry {
            ListEntry::Valid(_) => None,
            ListEntry::Invalid(entry) => Some(entry_error(entry)),
        })
    }

    /// The number of entries.
    pub fn entry_count(&self) -> usize {
        self.targets.len()
    }
}

/// Names an invalid entry and says why it is invalid.
fn entry_error(entry: &serde_json::Value) -> String {
    let error = Target::deserialize(entry).err().map(|e| e.to_string()).unwrap_or_default();
    let uid = entry.get("uid").and_then(serde_json::Value::as_str).unwrap_or("an entry without a uid");
    format!("{uid}: {error}")
}

#[derive(Clone, Debug, Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    model: String,
    pod_group: u64,
    state: MemberState,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum MemberState {
    Active,
    Leaving,
    Left,
}

/// The configuration of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryConfig {
    /// The address of the agent.
    pub agent: SocketAddr,
    /// How many conductors may call the agent at the same time.
    pub conductors: u32,
}

/// Reads the list of members from the platform's discovery agent.
pub struct PlatformDiscovery {
    /// Holds the current configuration, which a reload replaces.
    config: watch::Receiver<DiscoveryConfig>,
    agent: Agent,
    backoff: Backoff,
    names: ConfiguredNames,
    clock: Clock,
    start_times: StartTimes,
    addresses: Arc<AddressTable>,
    log: Logger,
    last_known: Option<Listing>,
}

impl PlatformDiscovery {
    /// Starts from the last known list.
    pub fn new(
        mut config: watch::Receiver<DiscoveryConfig>,
        last_known: Listing,
        backoff: Backoff,
        names: ConfiguredNames,
        clock: Clock,
        addresses: Arc<AddressTable>,
        log: Logger,
    ) -> Self {
        let agent = Agent::new(config.borrow_and_update().agent, Some(last_known.rev));
        let start_times = StartTimes::default();
        PlatformDiscovery {
            config,
            agent,
            backoff,
            names,
            clock,
            start_times,
            addresses,
            log,
            last_known: Some(last_known),
        }
    }

    fn apply_listing(&mut self, listing: Listing, kind: ListUpdateKind) -> MembershipUpdate {
        let now = self.clock.now();
        if let Some(ago) = self.agent.time_since_previous_activity() {
            self.start_times.record_contact(now.saturating_sub(ago.as_micros() as u64));
        }
        let mut entries = Vec::with_capacity(listing.targets.len());
        for list_entry in listing.targets {
            let target = match list_entry {
                ListEntry::Valid(target) => target,
                ListEntry::Invalid(invalid) => {
                    // A full list then does not name the server, so no requests are sent to it.
                    warn!(self.log, "skipping an invalid list entry"; "why" => entry_error(&invalid));
                    continue;
                }
            };
            match server_entry(&target, &self.names) {
                Ok(mut entry) => {
                    let converted = self.clock.from_unix_ms(target.boot_ms);
                    entry.started =
                        self.start_times.start_time(&entry.server, target.boot_ms, converted, now);
                    self.addresses.set(entry.server.clone(), target.endpoint);
                    entries.push(entry);
                }
                Err(e) => warn!(self.log, "skipping an unknown member"; "uid" => target.uid, "why" => %e),
            }
        }
        let update = MembershipUpdate { kind, entries };
        if kind == ListUpdateKind::Full {
            self.start_times.retain_listed(&update.entries);
        }
        // The last known list may be old and does not tell when other starts were listed.
        if kind != ListUpdateKind::StaleCopy {
            self.start_times.record_contact(now);
        }
        self.addresses.apply_update(&update);
        update
    }
}

impl MembershipSource for PlatformDiscovery {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        if let Some(last_known) = self.last_known.take() {
            return Some(self.apply_listing(last_known, ListUpdateKind::StaleCopy));
        }
        let config = self.config.clone();
        loop {
            let listing = tokio::select! {
                biased;
                address = wait_for_agent_change(&mut self.config, self.agent.address) => {
                    info!(self.log, "the configuration names another discovery agent"; "to" => %address);
                    self.agent = Agent::new(address, None);
                    self.start_times.reset_contact();
                    // Failures of the old agent do not delay calls to the new one.
                    self.backoff.reset();
                    continue;
                }
                listing = self.agent.next(&mut self.backoff, &config, &self.log) => listing,
            };
            let kind = if listing.all { ListUpdateKind::Full } else { ListUpdateKind::Changes };
            return Some(self.apply_listing(listing, kind));
        }
    }
}

/// Resolves once the configuration names another agent. A configuration that names the same one neither
/// cancels the current call nor shortens the wait before the next.
async fn wait_for_agent_change(
    config: &mut watch::Receiver<DiscoveryConfig>,
    current: SocketAddr,
) -> SocketAddr {
    let agent = config.wait_for(|config| config.agent != current).await.map(|config| config.agent);
    match agent {
        Ok(agent) => agent,
        // The sender is gone, so no configuration follows.
        Err(_) => std::future::pending().await,
    }
}

/// The client's state towards one discovery agent. Versions are only comparable within one agent.
struct Agent {
    address: SocketAddr,
    /// The last version received. Without one the full list is fetched.
    rev: Option<u64>,
    watch: Option<Watch>,
}

impl Agent {
    fn new(address: SocketAddr, rev: Option<u64>) -> Self {
        Agent { address, rev, watch: None }
    }

    /// The time since the activity on the watch before the latest one.
    fn time_since_previous_activity(&self) -> Option<Duration> {
        self.watch.as_ref()?.previous_activity.map(|at| at.elapsed())
    }

    /// Waits for the next list or change and retries until there is one.
    async fn next(
        &mut self,
        backoff: &mut Backoff,
        config: &watch::Receiver<DiscoveryConfig>,
        log: &Logger,
    ) -> Listing {
        loop {
            backoff.set_instances(config.borrow().conductors);
            match self.next_listing().await {
                Ok(listing) => {
                    backoff.reset();
                    self.rev = Some(listing.rev);
                    return listing;
                }
                Err(e) => {
                    let was_watching = self.watch.take().is_some();
                    // Logs one line for each outage.
                    if backoff.is_reset() {
                        info!(log, "discovery failed; retrying"; "why" => %e, "rev" => self.rev);
                    }
                    let wait = match e {
                        DiscoveryError::Timeout if was_watching => backoff.wait_after_silence(),
                        DiscoveryError::Timeout => backoff.wait_after_timeout(),
                        _ => backoff.wait_after_failure(),
                    };
                    debug!(log, "discovery call failed"; "why" => %e, "again_in" => ?wait);
                    sleep(wait).await;
                }
            }
        }
    }

    /// Fetches the full list if no version is known, else reads the next object of the watch, which is opened
    /// if needed.
    async fn next_listing(&mut self) -> Result<Listing, DiscoveryError> {
        let Some(rev) = self.rev else { return fetch_full_list(self.address).await };
        if self.watch.is_none() {
            self.watch = Some(Watch::open(self.address, rev).await?);
        }
        match &mut self.watch {
            Some(watch) => watch.next().await,
            None => Err(DiscoveryError::Closed),
        }
    }
}

async fn fetch_full_list(agent: SocketAddr) -> Result<Listing, DiscoveryError> {
    let target = Uri::from_static("/catalog/members");
    let fetch = async {
        let OpenResponse { response, driver: _driver } =
            send_request(agent, Method::GET, target, Bytes::new(), CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => Ok(serde_json::from_slice(
                &read_body(response.into_body(), MAX_LIST_BYTES, CALL_TIMEOUT).await?,
            )?),
            status => Err(DiscoveryError::Status(status)),
        }
    };
    // One timeout covers all steps.
    timeout(CALL_TIMEOUT, fetch).await.unwrap_or(Err(DiscoveryError::Timeout))
}

/// Converts a target to an entry for the decisions, without its start time.
fn server_entry(target: &Target, names: &ConfiguredNames) -> Result<ServerEntry, SetupError> {
    Ok(ServerEntry {
        server: Id::from(target.uid.as_str()),
        rack: target.pod_group,
        kind: index_of(names.kinds(), &target.model, "model")?,
        zone: index_of(names.zones(), &target.az, "az")?,
        started: 0,
        health: match target.state {
            MemberState::Active => Health::Up,
            MemberState::Leaving => Health::Draining,
            MemberState::Left => Health::Gone,
        },
    })
}

/// An open watch.
struct Watch {
    body: Incoming,
    decoder: ListingDecoder,
    /// When the incomplete object in the decoder started.
    partial_since: Option<Instant>,
    /// When data, or an empty line, last arrived, and when it did before that.
    last_activity: Option<Instant>,
    previous_activity: Option<Instant>,
    _driver: AbortOnDropHandle<()>,
}

impl Watch {
    async fn open(agent: SocketAddr, rev: u64) -> Result<Self, DiscoveryError> {
        let target = format!("/catalog/members?stream=1&index={rev}");
        let target = Uri::try_from(target).map_err(|_| DiscoveryError::Closed)?;
        let OpenResponse { response, driver } =
            send_request(agent, Method::GET, target, Bytes::new(), CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => {
                let (body, decoder) = (response.into_body(), ListingDecoder::default());
                let (partial_since, last_activity, previous_activity) = (None, None, None);
                Ok(Watch { body, decoder, partial_since, last_activity, previous_activity, _driver: driver })
            }
            status => Err(DiscoveryError::Status(status)),
        }
    }

    async fn next(&mut self) -> Result<Listing, DiscoveryError> {
        loop {
            if let Some(listing) = self.decoder.next_listing()? {
                self.partial_since = None;
                return Ok(listing);
            }
            // An object that does not end counts as silence, even if empty lines follow it.
            let now = Instant::now();
            self.partial_since =
                self.decoder.has_partial_object().then_some(self.partial_since.unwrap_or(now));
            let deadline = self.partial_since.unwrap_or(now) + WATCH_SILENCE_TIMEOUT;
            let frame = timeout_at(deadline, self.body.frame()).await.map_err(|_| DiscoveryError::Timeout)?;
            let Some(frame) = frame else { return Err(DiscoveryError::Closed) };
            self.previous_activity = self.last_activity.replace(Instant::now());
            if let Ok(data) = frame?.into_data() {
                self.decoder.push(&data)?;
            }
        }
    }
}
