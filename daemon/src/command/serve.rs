//! The conductor: reads its configuration, opens its doors, rereads the configuration on SIGHUP, and on
//! SIGTERM closes its doors in good order.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use frosttrail_core::{start, Clock, Conductor, ConductorParts, Metrics};
use frosttrail_daemon::config::{self, ChatConfig, Config, ConfigError, XdsConfig};
use frosttrail_daemon::discovery::{Backoff, DiscoveryConfig, PlatformDiscovery, XdsDiscovery};
use frosttrail_daemon::ending::Ending;
use frosttrail_daemon::front::chat::ChatFront;
use frosttrail_daemon::front::platform::PlatformFront;
use frosttrail_daemon::front::{ClientListeners, ClientTimeouts};
use frosttrail_daemon::listener_handover::ListenerHandover;
use frosttrail_daemon::reload::Reload;
use frosttrail_daemon::transient::{await_socket_pairs, await_threads, is_resource_shortage, retry_at_start};
use frosttrail_daemon::upstream::{AddressTable, ConnectionLimits, HttpUpstream};
use frosttrail_membership::service::{self, Membership};
use slog::{info, Logger};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::operations::{Listeners, Ops, OpsService, PreviousState};
use super::{incarnation, logger, runtime, ServeError};

/// How long clients may take: a request is small and comes from near, idle connections cost memory and
/// descriptors, and a client on a bad line may fall silent for some seconds while its answer streams.
const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    request_arrival: Duration::from_millis(2_200),
    idle: Duration::from_secs(5),
    write: Duration::from_secs(20),
};
/// A server's connection rests this long after an answer, in which what follows right behind has come.
const SETTLE: Duration = Duration::from_millis(10);
/// A reset comes back from a server, or from what lies before it, within this time.
const STALE_WITHIN: Duration = Duration::from_millis(20);
/// Descriptors for all that is neither a client nor a server: log, timers, discovery, listeners.
const SPARE_SOCKETS: usize = 48;

/// Requests are counted this often, for this instance's share of the traffic.
const COUNT: Duration = Duration::from_millis(500);
/// For a goodbye to those that share the servers.
const GOODBYE: Duration = Duration::from_millis(100);

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
pub fn serve(options: Options) -> Result<(), ServeError> {
    await_socket_pairs()?;
    let runtime = retry_at_start(is_resource_shortage, runtime)?;
    // Before all else: a signal that comes early must find its handler.
    let signals = {
        let _entered = runtime.enter();
        Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? }
    };
    let config = retry_at_start(ConfigError::is_transient, Config::from_env)?;
    let chat = options.chat.map(|file| ChatConfig::read(&file, &config.settings)).transpose()?;
    let xds = options.xds.map(|file| XdsConfig::read(&file)).transpose()?;
    let membership = options.membership.map(|file| config::membership(&file)).transpose()?;
    await_threads()?;
    let (log, _guard) = logger(&config.name);
    runtime.block_on(run(signals, config, OptionalFeatures { chat, xds, membership }, log))
}

/// The parts that files have switched on.
struct OptionalFeatures {
    chat: Option<ChatConfig>,
    xds: Option<XdsConfig>,
    membership: Option<service::MembershipConfig>,
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
) -> Result<(), ServeError> {
    let each = (config.sockets - SPARE_SOCKETS) / 2;
    let mut ops = config.ops.map(|address| Ops::open(address, &config, &log)).transpose()?;
    let doors = ClientListeners::new(each, CLIENT_TIMEOUTS, log.clone());
    let doors = if ops.is_some() { doors.sharing_address() } else { doors };
    let listen = config.listen;
    let (discovery, members) = watch::channel(config.discovery_config());
    let figures = Metrics::new().map_err(std::io::Error::other)?;
    let kept = ops.as_mut().and_then(Ops::kept);
    let (conductor, upstream) = conductor(config.clone(), members, xds, each, kept, &figures, &log);
    let reload = Reload {
        config,
        conductor: conductor.clone(),
        upstream,
        discovery,
        figures: figures.clone(),
        log: log.clone(),
    };
    // It goes on beside an end that is planned: until then, drains are still learned of.
    let _reloads = AbortOnDropHandle::new(tokio::spawn(reload.run(signals.hangup)));
    let serving = Arc::new(AtomicBool::new(false));
    if let Some(ops) = &mut ops {
        ops.answer_calls(&conductor, figures, serving.clone(), &log)?;
        tokio::select! {
            () = ops.restore_exclusions(&conductor, &log) => {}
            _ = signals.terminate.recv() => return Ok(()),
        }
    }
    let mut listeners = Listeners::new(&doors, ops.as_mut().and_then(Ops::inherited));
    doors.serve_on(listeners.bind(listen)?, PlatformFront::new(conductor.clone()))?;
    if let Some(chat) = chat {
        doors.serve_on(listeners.bind(chat.listen)?, ChatFront::new(conductor.clone(), chat))?;
    }
    let membership = match membership {
        Some(config) => Some(join(config, &conductor, &log).await?),
        None => None,
    };
    let mut service = match ops {
        Some(ops) => Some(ops.start(&conductor, listeners, &log)),
        None => {
            // A descriptor that stays open would keep the queue of a listener that has closed.
            drop(listeners);
            None
        }
    };
    serving.store(true, Ordering::Relaxed);
    signals.terminate.recv().await;
    serving.store(false, Ordering::Relaxed);
    let handover = service.as_mut().and_then(OpsService::end);
    let Ending { notice, answer_all, last } = Ending::new(&conductor.settings());
    let succeeded = handover.as_ref().is_some_and(ListenerHandover::has_successor);
    info!(log, "SIGTERM: closing"; "within" => ?last, "another process accepts" => succeeded);
    doors.end_keep_alive();
    if succeeded {
        doors.stop_accepting();
    }
    let orderly = async {
        sleep(notice).await;
        if let Some(handover) = handover {
            handover.close().await;
        }
        doors.close().await;
        conductor.wait_for_releases().await;
    };
    let answer_rest = async {
        sleep(answer_all).await;
        conductor.close();
        std::future::pending::<()>().await;
    };
    let in_time = timeout(last, async {
        tokio::select! {
            () = orderly => {}
            () = answer_rest => {}
        }
    });
    if in_time.await.is_err() {
        info!(log, "closed before all was done"; "connections" => doors.connection_count());
    }
    if let Some((membership, _shares)) = membership {
        // Nothing is sent from here any more: what it had is the others'.
        let _ = timeout(GOODBYE, membership.leave()).await;
    }
    Ok(())
}

/// Takes part among those that share the servers, and tells the decisions what part is theirs.
async fn join(
    config: service::MembershipConfig,
    conductor: &Conductor<HttpUpstream>,
    log: &Logger,
) -> Result<(Membership, AbortOnDropHandle<()>), ServeError> {
    let listen = config.listen;
    let membership = Membership::start(config, incarnation()?, log.clone()).await;
    let membership = membership.map_err(|e| ServeError::Bind(listen, e))?;
    let (mut view, request_counter, conductor) =
        (membership.view(), membership.request_counter(), conductor.clone());
    conductor.set_quota_share(view.borrow_and_update().quota_share);
    let shares = tokio::spawn(async move {
        let mut counted = 0;
        loop {
            tokio::select! {
                changed = view.changed() => match changed {
                    Ok(()) => conductor.set_quota_share(view.borrow_and_update().quota_share),
                    Err(_) => return,
                },
                () = sleep(COUNT) => {
                    let calls = conductor.call_count();
                    request_counter.add(calls - counted);
                    counted = calls;
                }
            }
        }
    });
    Ok((membership, AbortOnDropHandle::new(shares)))
}

fn conductor(
    config: Config,
    discovery: watch::Receiver<DiscoveryConfig>,
    xds: Option<XdsConfig>,
    connections: usize,
    learned: PreviousState,
    figures: &Metrics,
    log: &Logger,
) -> (Conductor<HttpUpstream>, Arc<HttpUpstream>) {
    let clock = Clock::new();
    let book = Arc::new(AddressTable::default());
    let limits = ConnectionLimits {
        max_connections: connections,
        connect_timeout: Duration::from_micros(config.settings.connect_timeout),
        server_idle_timeout: Duration::from_micros(config.settings.connection_idle_timeout),
        settle_time: SETTLE,
        stale_reset_window: STALE_WITHIN,
    };
    let upstream = Arc::new(HttpUpstream::new(book.clone(), limits, figures.sends.clone()));
    let Config { name, known, names, settings, seed, .. } = config;
    let (log, shared_upstream, figures) = (log.clone(), upstream.clone(), figures.clone());
    // They are known before anything is served.
    let excluded = Vec::new();
    let conductor = match xds {
        Some(xds) => {
            let members = XdsDiscovery::new(xds, name, names, clock, book, log.clone());
            start(ConductorParts {
                settings,
                seed,
                clock,
                upstream,
                members,
                excluded,
                metrics: figures,
                inherited: learned,
                log,
            })
        }
        None => {
            let backoff = Backoff::new(settings.conductors, seed);
            let members = PlatformDiscovery::new(discovery, known, backoff, names, clock, book, log.clone());
            start(ConductorParts {
                settings,
                seed,
                clock,
                upstream,
                members,
                excluded,
                metrics: figures,
                inherited: learned,
                log,
            })
        }
    };
    (conductor, shared_upstream)
}
