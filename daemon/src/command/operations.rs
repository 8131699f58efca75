//! What serving adds where operators call: their address, what outlives the process, and the process that
//! takes over.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use frosttrail::{Id, OpenWork};
use frosttrail_core::{Conductor, Figures, Learned};
use frosttrail_daemon::config::Config;
use frosttrail_daemon::front::Doors;
use frosttrail_daemon::listener_handover::{InheritedListeners, ListenerHandover};
use frosttrail_daemon::open_work_files::OpenWorkFiles;
use frosttrail_daemon::ops::{ConductorOperations, ExclusionStore, OpsServer};
use frosttrail_daemon::snapshot_file::SnapshotFile;
use frosttrail_daemon::state_dir;
use frosttrail_daemon::upstream::Upstream;
use slog::{warn, Logger};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use super::ServeError;

/// What was learned is written this often.
const SNAPSHOT_EVERY: Duration = Duration::from_millis(500);
/// What is open at instances is told to other processes this often.
const OPEN_WORK_EVERY: Duration = Duration::from_millis(100);
/// What another process was told of exclusions is read this often, well within the rule on drains.
const EXCLUSIONS_EVERY: Duration = Duration::from_millis(100);

/// What the process before has left for the conductor.
#[derive(Default)]
pub struct PreviousState {
    /// Instances that are excluded.
    pub excluded: Vec<Id>,
    /// What was learned, and how long ago that was written.
    pub learned: Option<(Learned, Duration)>,
}

/// The operators' address, bound, and what the process before has left.
pub struct Ops {
    server: OpsServer,
    folder: PathBuf,
    store: ExclusionStore,
    snapshot: SnapshotFile,
    kept: Option<PreviousState>,
    inherited: Option<InheritedListeners>,
}

impl Ops {
    /// Binds the address and takes over what there is.
    pub fn open(address: SocketAddr, config: &Config, log: &Logger) -> Result<Self, ServeError> {
        let server = OpsServer::bind(address).map_err(|e| ServeError::Bind(address, e))?;
        let folder = state_dir::open(&config.name, config.listen)?;
        let inherited = InheritedListeners::request(&folder, log);
        let (store, snapshot) = (ExclusionStore::open(&folder)?, SnapshotFile::in_folder(&folder));
        let excluded = store.load(log)?;
        let learned = snapshot.read().unwrap_or_else(|e| {
            warn!(log, "what the process before has learned is passed over"; "why" => %e);
            None
        });
        Ok(Ops {
            server,
            folder,
            store,
            snapshot,
            kept: Some(PreviousState { excluded, learned }),
            inherited,
        })
    }

    /// What is for the conductor; once.
    pub fn kept(&mut self) -> PreviousState {
        self.kept.take().unwrap_or_default()
    }

    /// The listeners that were passed on; once.
    pub fn inherited(&mut self) -> Option<InheritedListeners> {
        self.inherited.take()
    }

    /// Answers calls, and keeps what the next process needs.
    pub fn start(
        self,
        conductor: &Conductor<Upstream>,
        figures: Figures,
        listeners: Listeners,
        ending: Arc<AtomicBool>,
        log: &Logger,
    ) -> Result<OpsService, ServeError> {
        let Ops { server, folder, store, snapshot, .. } = self;
        let handover = ListenerHandover::offer(&folder, Arc::new(listeners.listeners), log.clone());
        let handover = handover
            .inspect_err(|e| {
                warn!(log, "listeners can't be passed on: an upgrade shares the address only";
                    "folder" => %folder.display(), "why" => %e);
            })
            .ok();
        let files = OpenWorkFiles::open(&folder)?;
        let shares = tokio::spawn(share_open_work(conductor.clone(), files.clone(), log.clone()));
        let keeps = tokio::spawn(keep_snapshot(conductor.clone(), snapshot, log.clone()));
        let follows = tokio::spawn(follow_exclusions(conductor.clone(), store.clone(), log.clone()));
        let operations = ConductorOperations::new(conductor.clone(), store, figures, ending);
        server.start(Arc::new(operations), log.clone())?;
        Ok(OpsService {
            handover,
            keeps: Some(AbortOnDropHandle::new(keeps)),
            _follows: AbortOnDropHandle::new(follows),
            _shares: AbortOnDropHandle::new(shares),
            open_work: files,
            _inherited: listeners.inherited,
        })
    }
}

/// The clients' listeners: those that were passed on, else new ones.
pub struct Listeners {
    doors: Doors,
    inherited: Option<InheritedListeners>,
    /// A descriptor of each, to pass on.
    listeners: Vec<TcpListener>,
}

impl Listeners {
    /// None is bound yet.
    pub fn new(doors: &Doors, inherited: Option<InheritedListeners>) -> Self {
        Listeners { doors: doors.clone(), inherited, listeners: Vec::new() }
    }

    /// The listener of an address.
    pub fn bind(&mut self, address: SocketAddr) -> Result<TcpListener, ServeError> {
        let passed_on = self.inherited.as_mut().and_then(|inherited| inherited.take(address));
        let listener = match passed_on {
            Some(listener) => listener,
            None => self.doors.bind(address).map_err(|e| ServeError::Bind(address, e))?,
        };
        self.listeners.push(listener.try_clone()?);
        Ok(listener)
    }
}

/// The running parts.
pub struct OpsService {
    handover: Option<ListenerHandover>,
    keeps: Option<AbortOnDropHandle<()>>,
    _follows: AbortOnDropHandle<()>,
    _shares: AbortOnDropHandle<()>,
    open_work: OpenWorkFiles,
    /// For the process before, to which it says that this one lives.
    _inherited: Option<InheritedListeners>,
}

impl OpsService {
    /// An end is planned: the process that takes over writes what is learned from now on, while what is
    /// excluded still binds this one. Gives what passes the listeners on.
    pub fn end(&mut self) -> Option<ListenerHandover> {
        self.keeps = None;
        self.handover.take()
    }
}

/// Writes what was learned again and again, for the process that takes over.
async fn keep_snapshot(conductor: Conductor<Upstream>, file: SnapshotFile, log: Logger) {
    let mut failed = false;
    loop {
        sleep(SNAPSHOT_EVERY).await;
        let Some(learned) = conductor.learned().await else { return };
        let file = file.clone();
        let written = tokio::task::spawn_blocking(move || file.write(&learned)).await;
        let Ok(written) = written else { return };
        if let Err(e) = &written {
            // One line for each outage.
            if !failed {
                warn!(log, "what was learned could not be written"; "why" => %e);
            }
        }
        failed = written.is_err();
    }
}

impl Drop for OpsService {
    fn drop(&mut self) {
        self.open_work.remove();
    }
}

/// Tells the other processes of the same conductor what this one has open, and counts what they have.
async fn share_open_work(conductor: Conductor<Upstream>, files: OpenWorkFiles, log: Logger) {
    let (mut counted, mut failed) = (OpenWork::default(), false);
    loop {
        sleep(OPEN_WORK_EVERY).await;
        let Some(own) = conductor.open_work().await else { return };
        let files = files.clone();
        let Ok(others) = tokio::task::spawn_blocking(move || files.exchange(&own)).await else { return };
        match others {
            Ok(others) => {
                if others != counted {
                    conductor.set_foreign_work(others.clone());
                    counted = others;
                }
                failed = false;
            }
            Err(e) => {
                // One line for each outage.
                if !failed {
                    warn!(log, "open work can't be told to other processes"; "why" => %e);
                }
                failed = true;
            }
        }
    }
}

/// Takes over what another process of the same conductor was told of exclusions.
async fn follow_exclusions(conductor: Conductor<Upstream>, store: ExclusionStore, log: Logger) {
    let mut seen = None;
    loop {
        sleep(EXCLUSIONS_EVERY).await;
        let changed = store.changed();
        if changed.is_some() && changed == seen {
            continue;
        }
        match store.load(&log) {
            Ok(excluded) => {
                conductor.replace_excluded(excluded.into_iter().collect());
                // What changes twice within the file system's smallest step looks like one change.
                seen = changed.filter(|at| at.elapsed().is_ok_and(|age| age > EXCLUSIONS_EVERY));
            }
            Err(e) => warn!(log, "exclusions could not be read again"; "why" => %e),
        }
    }
}
