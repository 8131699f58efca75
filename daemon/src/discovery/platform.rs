//! The platform's discovery: the list as last known, then a watch that is asked for again whenever it
//! ends or falls silent, and that moves when the configuration names another address.

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

use super::backoff::{Backoff, CALL, SILENCE};
use super::http::{call, whole, Called, ListError};
use super::objects::{Objects, LIST_MOST};
use super::starts::Starts;
use crate::upstream::AddressTable;

/// A list of members or a change to one, as discovery words it.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    rev: u64,
    all: bool,
    targets: Vec<Line>,
}

/// A line of a list. One that can't be read must not keep the others from being heard.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Line {
    Read(Target),
    Unreadable(serde_json::Value),
}

impl Listing {
    /// What is wrong with the first line that can't be read, if there is one.
    pub fn fault(&self) -> Option<String> {
        self.targets.iter().find_map(|line| match line {
            Line::Read(_) => None,
            Line::Unreadable(line) => Some(fault(line)),
        })
    }
}

/// Why a line can't be read, and which.
fn fault(line: &serde_json::Value) -> String {
    let why = Target::deserialize(line).err().map(|e| e.to_string()).unwrap_or_default();
    let uid = line.get("uid").and_then(serde_json::Value::as_str).unwrap_or("a line without a uid");
    format!("{uid}: {why}")
}

#[derive(Clone, Debug, Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    model: String,
    pod_group: u64,
    state: State,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

/// What a configuration says of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryConfig {
    /// The agent's address.
    pub agent: SocketAddr,
    /// How many conductors may ask together.
    pub conductors: u32,
}

/// The platform's list of members.
pub struct Discovery {
    /// Changes with a new configuration.
    config: watch::Receiver<DiscoveryConfig>,
    agent: Agent,
    backoff: Backoff,
    names: ConfiguredNames,
    clock: Clock,
    starts: Starts,
    book: Arc<AddressTable>,
    log: Logger,
    known: Option<Listing>,
}

impl Discovery {
    /// Starts from the list as last known.
    pub fn new(
        mut config: watch::Receiver<DiscoveryConfig>,
        known: Listing,
        backoff: Backoff,
        names: ConfiguredNames,
        clock: Clock,
        book: Arc<AddressTable>,
        log: Logger,
    ) -> Self {
        let agent = Agent::new(config.borrow_and_update().agent, Some(known.rev));
        let starts = Starts::default();
        Discovery { config, agent, backoff, names, clock, starts, book, log, known: Some(known) }
    }

    fn news(&mut self, listing: Listing, form: ListUpdateKind) -> MembershipUpdate {
        let now = self.clock.now();
        if let Some(ago) = self.agent.heard_before() {
            self.starts.heard(now.saturating_sub(ago.as_micros() as u64));
        }
        let mut entries = Vec::with_capacity(listing.targets.len());
        for line in listing.targets {
            let target = match line {
                Line::Read(target) => target,
                Line::Unreadable(line) => {
                    // Nothing is sent to a server that a whole list does not name in readable words.
                    warn!(self.log, "a line of the list is passed over"; "why" => fault(&line));
                    continue;
                }
            };
            match entry(&target, &self.names) {
                Ok(mut entry) => {
                    let converted = self.clock.from_unix_ms(target.boot_ms);
                    entry.started = self.starts.started(&entry.server, target.boot_ms, converted, now);
                    self.book.set(entry.server.clone(), target.endpoint);
                    entries.push(entry);
                }
                Err(e) => warn!(self.log, "a member is passed over"; "uid" => target.uid, "why" => %e),
            }
        }
        let news = MembershipUpdate { kind: form, entries };
        if form == ListUpdateKind::Full {
            self.starts.forget_but(&news.entries);
        }
        // The list that is known from before may be old: it says nothing of when others were listed.
        if form != ListUpdateKind::StaleCopy {
            self.starts.heard(now);
        }
        self.book.apply_update(&news);
        news
    }
}

impl MembershipSource for Discovery {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        if let Some(known) = self.known.take() {
            return Some(self.news(known, ListUpdateKind::StaleCopy));
        }
        let sizes = self.config.clone();
        loop {
            let listing = tokio::select! {
                biased;
                to = moved(&mut self.config, self.agent.address) => {
                    info!(self.log, "discovery has moved"; "to" => %to);
                    self.agent = Agent::new(to, None);
                    self.starts.moved();
                    // What went wrong at the old one says nothing of the new one.
                    self.backoff.succeeded();
                    continue;
                }
                listing = self.agent.next(&mut self.backoff, &sizes, &self.log) => listing,
            };
            let form = if listing.all { ListUpdateKind::Full } else { ListUpdateKind::Changes };
            return Some(self.news(listing, form));
        }
    }
}

/// Resolves once the configuration names another agent. One that names the same does not disturb the call
/// that is under way, nor the wait before the next.
async fn moved(config: &mut watch::Receiver<DiscoveryConfig>, from: SocketAddr) -> SocketAddr {
    let agent = config.wait_for(|config| config.agent != from).await.map(|config| config.agent);
    match agent {
        Ok(agent) => agent,
        // Whoever could say so has gone.
        Err(_) => std::future::pending().await,
    }
}

/// One discovery agent. Versions are its own: those of another say nothing here.
struct Agent {
    address: SocketAddr,
    /// The version held; without one the whole list is asked for.
    rev: Option<u64>,
    watch: Option<Watch>,
}

impl Agent {
    fn new(address: SocketAddr, rev: Option<u64>) -> Self {
        Agent { address, rev, watch: None }
    }

    /// How long ago the watch was heard before what it has told last.
    fn heard_before(&self) -> Option<Duration> {
        self.watch.as_ref()?.heard_before.map(|at| at.elapsed())
    }

    /// The next list or change. Asks on for as long as there is none.
    async fn next(
        &mut self,
        backoff: &mut Backoff,
        config: &watch::Receiver<DiscoveryConfig>,
        log: &Logger,
    ) -> Listing {
        loop {
            backoff.resize(config.borrow().conductors);
            match self.listing().await {
                Ok(listing) => {
                    backoff.succeeded();
                    self.rev = Some(listing.rev);
                    return listing;
                }
                Err(e) => {
                    let watched = self.watch.take().is_some();
                    // One line for each outage.
                    if backoff.is_fresh() {
                        info!(log, "watch again"; "why" => %e, "rev" => self.rev);
                    }
                    let wait = match e {
                        ListError::Silent if watched => backoff.silent(),
                        ListError::Silent => backoff.hung(),
                        _ => backoff.failed(),
                    };
                    debug!(log, "watch failed"; "why" => %e, "again_in" => ?wait);
                    sleep(wait).await;
                }
            }
        }
    }

    /// The whole list where none is held, else the next line of the watch, which is opened where there is
    /// none.
    async fn listing(&mut self) -> Result<Listing, ListError> {
        let Some(rev) = self.rev else { return whole_list(self.address).await };
        if self.watch.is_none() {
            self.watch = Some(Watch::open(self.address, rev).await?);
        }
        match &mut self.watch {
            Some(watch) => watch.next().await,
            None => Err(ListError::Ended),
        }
    }
}

async fn whole_list(agent: SocketAddr) -> Result<Listing, ListError> {
    let target = Uri::from_static("/catalog/members");
    let list = async {
        let Called { response, driver: _driver } =
            call(agent, Method::GET, target, Bytes::new(), CALL).await?;
        match response.status() {
            StatusCode::OK => {
                Ok(serde_json::from_slice(&whole(response.into_body(), LIST_MOST, CALL).await?)?)
            }
            status => Err(ListError::Status(status)),
        }
    };
    // Its steps have one time together.
    timeout(CALL, list).await.unwrap_or(Err(ListError::Silent))
}

/// A line of the list as the decisions have it, but for its start.
fn entry(target: &Target, names: &ConfiguredNames) -> Result<ServerEntry, SetupError> {
    Ok(ServerEntry {
        server: Id::from(target.uid.as_str()),
        rack: target.pod_group,
        kind: index_of(names.kinds(), &target.model, "model")?,
        zone: index_of(names.zones(), &target.az, "az")?,
        started: 0,
        health: match target.state {
            State::Active => Health::Up,
            State::Leaving => Health::Draining,
            State::Left => Health::Gone,
        },
    })
}

/// An open watch.
struct Watch {
    body: Incoming,
    objects: Objects,
    /// When the object began that has not ended yet.
    began: Option<Instant>,
    /// When something came on it last, an empty line included, and when before that.
    heard: Option<Instant>,
    heard_before: Option<Instant>,
    _driver: AbortOnDropHandle<()>,
}

impl Watch {
    async fn open(agent: SocketAddr, rev: u64) -> Result<Self, ListError> {
        let target = format!("/catalog/members?stream=1&index={rev}");
        let target = Uri::try_from(target).map_err(|_| ListError::Ended)?;
        let Called { response, driver } = call(agent, Method::GET, target, Bytes::new(), CALL).await?;
        match response.status() {
            StatusCode::OK => {
                let (body, objects) = (response.into_body(), Objects::default());
                let (began, heard, heard_before) = (None, None, None);
                Ok(Watch { body, objects, began, heard, heard_before, _driver: driver })
            }
            status => Err(ListError::Status(status)),
        }
    }

    async fn next(&mut self) -> Result<Listing, ListError> {
        loop {
            if let Some(listing) = self.objects.pop()? {
                self.began = None;
                return Ok(listing);
            }
            // Empty lines behind half an object say nothing: what does not end is as good as silent.
            let now = Instant::now();
            self.began = self.objects.is_part().then_some(self.began.unwrap_or(now));
            let by = self.began.unwrap_or(now) + SILENCE;
            let frame = timeout_at(by, self.body.frame()).await.map_err(|_| ListError::Silent)?;
            let Some(frame) = frame else { return Err(ListError::Ended) };
            self.heard_before = self.heard.replace(Instant::now());
            if let Ok(data) = frame?.into_data() {
                self.objects.push(&data)?;
            }
        }
    }
}
