//! `frosttrail serve`: runs the conductor, reloads its configuration on SIGHUP and shuts down gracefully on
//! SIGTERM.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use frosttrail_core::{start, Clock, Conductor, ConductorParts, MembershipSource, MembershipUpdate, Metrics};
use frosttrail_daemon::buffer_budget::{BufferBudget, MemoryLimits};
use frosttrail_daemon::config::{self, ChatConfig, Config, ConfigError, XdsConfig};
use frosttrail_daemon::discovery::{Backoff, DiscoveryConfig, PlatformDiscovery, XdsDiscovery};
use frosttrail_daemon::front::chat::ChatFront;
use frosttrail_daemon::front::platform::PlatformFront;
use frosttrail_daemon::front::{ClientListeners, ClientTimeouts};
use frosttrail_daemon::listener_handover::ListenerHandover;
use frosttrail_daemon::reload::ConfigReloader;
use frosttrail_daemon::shutdown::ShutdownSchedule;
use frosttrail_daemon::transient::{await_socket_pairs, await_threads, is_resource_shortage, retry_at_start};
use frosttrail_daemon::upstream::{AddressTable, ConnectionLimits, HttpUpstream, UpstreamObserver};
use frosttrail_membership::service::{self, Membership};
use slog::{info, Logger};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::task::AbortOnDropHandle;

use super::graceful_shutdown::GracefulShutdown;
use super::operations::{Listeners, OpsService, OpsSetup, UpgradeState};
use super::{logger, random_incarnation, runtime, CommandError};

/// Timeouts of client connections. Requests are small and come from nearby. Idle connections cost memory and
/// descriptors. A client on a bad connection may stall for some seconds while its answer streams.
const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    request_arrival: Duration::from_millis(2_200),
    idle: Duration::from_secs(5),
    write: Duration::from_secs(20),
};
/// How long a connection to a server rests after an answer before it is used again. A second answer, which
/// may follow some milliseconds late, has arrived by then and shows that the connection can't be used.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// A reset of a stale connection arrives from the server, or from a proxy before it, within this time.
const STALE_RESET_WINDOW: Duration = Duration::from_millis(20);
/// Descriptors reserved for everything but clients and servers: log, timers, discovery, listeners.
const RESERVED_SOCKETS: usize = 48;

/// How often requests are counted to determine this instance's share of the traffic.
const REQUEST_COUNT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for notifying the other instances of the membership that this one leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// The files that switch parts on.
#[derive(clap::Args, Debug, Default)]
pub struct Options {
    /// Open the OpenAI-style chat front as this file says.
    #[arg(long, value_name = "FILE")]
    chat: Option<PathBuf>,
    /// Take members from the xDS server that this file names, in place of the platform's discovery.
    #[arg(long, value_name = "FILE")]
    xds: Option<PathBuf>,
    /// Settle with the instances that this file names what part of the servers is this one's.
    #[arg(long, value_name = "FILE")]
    membership: Option<PathBuf>,
}

/// Runs the conductor until SIGTERM.
pub fn serve(options: Options) -> Result<(), CommandError> {
    await_socket_pairs()?;
    let runtime = retry_at_start(is_resource_shortage, runtime)?;
    // Handlers are installed first, so that an early signal does not kill the process.
    let signals = {
        let _entered = runtime.enter();
        Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? }
    };
    let config = retry_at_start(ConfigError::is_transient, Config::from_env)?;
    let chat = options.chat.map(|file| ChatConfig::read(&file, &config.settings)).transpose()?;
    let xds = options.xds.map(|file| XdsConfig::read(&file)).transpose()?;
    let membership = options.membership.map(|file| config::read_membership(&file)).transpose()?;
    await_threads()?;
    let (log, _guard) = logger(&config.name);
    runtime.block_on(run(signals, config, OptionalFeatures { chat, xds, membership }, log))
}

/// The features that command line options enable.
struct OptionalFeatures {
    chat: Option<ChatConfig>,
    xds: Option<XdsConfig>,
    membership: Option<service::MembershipConfig>,
}

/// What the connections to servers may take.
struct UpstreamResources {
    max_connections: usize,
    /// Shared with the connections of clients.
    buffers: BufferBudget,
}

struct Signals {
    terminate: Signal,
    hangup: Signal,
}

async fn run(
    mut signals: Signals,
    config: Config,
    OptionalFeatures { chat, xds, membership }: OptionalFeatures,
    log: Logger,
) -> Result<(), CommandError> {
    let max_connections = (config.max_sockets - RESERVED_SOCKETS) / 2;
    let metrics = Metrics::new().map_err(std::io::Error::other)?;
    let mut ops = config.ops.map(|address| OpsSetup::open(address, &config, &log)).transpose()?;
    let buffers = buffer_budget(&config, 2 * max_connections);
    let client_listeners =
        ClientListeners::new(max_connections, CLIENT_TIMEOUTS, metrics.client_closes.clone(), log.clone())
            .with_buffer_budget(buffers.clone());
    let resources = UpstreamResources { max_connections, buffers };
    let client_listeners = if ops.is_some() { client_listeners.sharing_address() } else { client_listeners };
    let listen = config.listen;
    let (discovery, members) = watch::channel(config.discovery_config());
    let upgrade_state = ops.as_mut().map(|ops| ops.take_upgrade_state(&log)).unwrap_or_default();
    let (conductor, upstream) =
        start_conductor(config.clone(), members, xds, resources, upgrade_state, &metrics, &log);
    let reloader = ConfigReloader {
        config,
        conductor: conductor.clone(),
        upstream,
        discovery,
        metrics: metrics.clone(),
        log: log.clone(),
    };
    // Reloads continue during a graceful shutdown, so that drains still take effect.
    let _reload_task = AbortOnDropHandle::new(tokio::spawn(reloader.run(signals.hangup)));
    let is_serving = Arc::new(AtomicBool::new(false));
    if let Some(ops) = &mut ops {
        ops.answer_calls(&conductor, metrics, is_serving.clone(), &log)?;
        tokio::select! {
            () = ops.restore_exclusions(&conductor, &log) => {}
            _ = signals.terminate.recv() => return Ok(()),
        }
    }
    // Before the first request, which would otherwise be served by the share of the settings.
    let membership = match membership {
        Some(config) => Some(join_membership(config, &conductor, &log).await?),
        None => None,
    };
    let mut listeners =
        Listeners::new(&client_listeners, ops.as_mut().and_then(OpsSetup::take_inherited_listeners));
    client_listeners.serve_on(listeners.bind(listen)?, PlatformFront::new(conductor.clone()))?;
    if let Some(chat) = chat {
        client_listeners.serve_on(listeners.bind(chat.listen)?, ChatFront::new(conductor.clone(), chat))?;
    }
    let mut service = match ops {
        Some(ops) => Some(ops.start(&conductor, listeners, &log)),
        None => {
            // An open duplicate would keep a listener's queue alive after the listener is closed.
            drop(listeners);
            None
        }
    };
    is_serving.store(true, Ordering::Relaxed);
    signals.terminate.recv().await;
    let started_at = Instant::now();
    is_serving.store(false, Ordering::Relaxed);
    let handover = service.as_mut().and_then(OpsService::begin_shutdown);
    let schedule = ShutdownSchedule::new(&conductor.settings());
    let has_successor = handover.as_ref().is_some_and(ListenerHandover::has_successor);
    info!(log, "SIGTERM: closing"; "within" => ?schedule.exit_after,
        "another process accepts" => has_successor);
    client_listeners.plan_close(started_at + schedule.close_listeners_after);
    client_listeners.end_keep_alive();
    if has_successor {
        client_listeners.stop_accepting();
    }
    let mut shutdown = GracefulShutdown { started_at, schedule, conductor, client_listeners, handover };
    shutdown.give_final_answers(&log).await;
    if let Some((membership, _quota_task)) = membership {
        // This instance sends nothing more, so the others take over its share.
        let _ = timeout(LEAVE_TIMEOUT, membership.leave()).await;
    }
    shutdown.finish_streams(&log).await;
    Ok(())
}

/// The memory for requests, with this many connections to clients and servers.
fn buffer_budget(config: &Config, max_connections: usize) -> BufferBudget {
    let Some(memory_bytes) = config.max_memory_bytes else { return BufferBudget::unlimited() };
    BufferBudget::for_process(MemoryLimits {
        memory_bytes: usize::try_from(memory_bytes).unwrap_or(usize::MAX),
        // With an operators' address there may be an upgrade, in which two processes share the limit.
        processes: if config.ops.is_some() { 2 } else { 1 },
        max_connections,
        servers: config.known_members.entry_count(),
    })
}

/// Joins the membership of the instances that share the servers, and passes this instance's share of the
/// quota to the conductor.
async fn join_membership(
    config: service::MembershipConfig,
    conductor: &Conductor<HttpUpstream>,
    log: &Logger,
) -> Result<(Membership, AbortOnDropHandle<()>), CommandError> {
    let listen = config.listen;
    let membership = Membership::start(config, random_incarnation()?, log.clone()).await;
    let membership = membership.map_err(|e| CommandError::Bind(listen, e))?;
    let (mut view, request_counter, conductor) =
        (membership.view(), membership.request_counter(), conductor.clone());
    conductor.set_quota_share(view.borrow_and_update().quota_share);
    let quota_task = tokio::spawn(async move {
        let mut reported = 0;
        loop {
            tokio::select! {
                changed = view.changed() => match changed {
                    Ok(()) => conductor.set_quota_share(view.borrow_and_update().quota_share),
                    Err(_) => return,
                },
                () = sleep(REQUEST_COUNT_INTERVAL) => {
                    let calls = conductor.call_count();
                    request_counter.add(calls - reported);
                    reported = calls;
                }
            }
        }
    });
    Ok((membership, AbortOnDropHandle::new(quota_task)))
}

/// The source of the list of members that the configuration names.
enum Discovery {
    Platform(PlatformDiscovery),
    Xds(XdsDiscovery),
}

impl MembershipSource for Discovery {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        match self {
            Discovery::Platform(platform) => platform.next().await,
            Discovery::Xds(xds) => xds.next().await,
        }
    }
}

fn start_conductor(
    config: Config,
    discovery: watch::Receiver<DiscoveryConfig>,
    xds: Option<XdsConfig>,
    resources: UpstreamResources,
    upgrade_state: UpgradeState,
    metrics: &Metrics,
    log: &Logger,
) -> (Conductor<HttpUpstream>, Arc<HttpUpstream>) {
    let clock = Clock::new();
    let addresses = Arc::new(AddressTable::default());
    let limits = ConnectionLimits {
        max_connections: resources.max_connections,
        connect_timeout: Duration::from_micros(config.settings.connect_timeout),
        server_idle_timeout: Duration::from_micros(config.settings.connection_idle_timeout),
        settle_time: SETTLE_TIME,
        stale_reset_window: STALE_RESET_WINDOW,
    };
    let upstream = Arc::new(HttpUpstream::new(
        addresses.clone(),
        limits,
        UpstreamObserver::new(metrics, log.clone()),
        resources.buffers,
    ));
    let Config { name, known_members, names, settings, seed, .. } = config;
    let (log, shared_upstream, metrics) = (log.clone(), upstream.clone(), metrics.clone());
    let members = match xds {
        Some(xds) => Discovery::Xds(XdsDiscovery::new(xds, name, names, clock, addresses, log.clone())),
        None => {
            let backoff = Backoff::new(settings.conductors, seed);
            let platform = PlatformDiscovery::new(
                discovery,
                known_members,
                backoff,
                names,
                clock,
                addresses,
                log.clone(),
            );
            Discovery::Platform(platform)
        }
    };
    let conductor = start(ConductorParts {
        settings,
        seed,
        clock,
        upstream,
        members,
        // Restored later, before any request is served.
        excluded: Vec::new(),
        metrics,
        inherited: upgrade_state.inherited,
        shared_id_claims: upgrade_state.id_claims,
        log,
    });
    (conductor, shared_upstream)
}
