//! What serving adds where operators call: their address, what outlives the process, and the process that
//! takes over.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use frosttrail::OpenWork;
use frosttrail_core::{Conductor, InheritedState, Metrics};
use frosttrail_daemon::config::Config;
use frosttrail_daemon::front::ClientListeners;
use frosttrail_daemon::listener_handover::{InheritedListeners, ListenerHandover};
use frosttrail_daemon::open_work_files::OpenWorkFiles;
use frosttrail_daemon::ops::{CallMarks, ConductorOperations, ExclusionStore, OpsServer};
use frosttrail_daemon::snapshot_file::SnapshotFile;
use frosttrail_daemon::state_dir;
use frosttrail_daemon::transient::{is_resource_shortage, retry_at_start};
use frosttrail_daemon::upstream::HttpUpstream;
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

/// How often a folder that can't be read is tried again before anything is served.
const FOLDER_RETRY: Duration = Duration::from_millis(50);

/// What was learned by the process before, and how long ago that was written.
pub type PreviousState = Option<(InheritedState, Duration)>;

/// The operators' address, bound, and what the process before has left.
pub struct Ops {
    server: Option<OpsServer>,
    folder: PathBuf,
    store: ExclusionStore,
    snapshot: SnapshotFile,
    kept: PreviousState,
    inherited: Option<InheritedListeners>,
    calls: CallMarks,
}

impl Ops {
    /// Binds the address and takes over what there is.
    pub fn open(address: SocketAddr, config: &Config, log: &Logger) -> Result<Self, ServeError> {
        let server = OpsServer::bind(address).map_err(|e| ServeError::Bind(address, e))?;
        let folder = state_dir::path(&config.name, config.listen);
        let inherited = InheritedListeners::request(&folder, log);
        let (store, snapshot) = (ExclusionStore::in_folder(&folder), SnapshotFile::in_folder(&folder));
        state_dir::remove_leftovers(&folder);
        state_dir::remove_leftovers(store.folder());
        let kept = snapshot.read().unwrap_or_else(|e| {
            warn!(log, "what the process before has learned is passed over"; "why" => %e);
            None
        });
        let (server, calls) = (Some(server), CallMarks::default());
        Ok(Ops { server, folder, store, snapshot, kept, inherited, calls })
    }

    /// What is for the conductor; once.
    pub fn kept(&mut self) -> PreviousState {
        self.kept.take()
    }

    /// The listeners that were passed on; once.
    pub fn inherited(&mut self) -> Option<InheritedListeners> {
        self.inherited.take()
    }

    /// Answers calls from now on; `serving` is set while the process takes requests.
    pub fn answer_calls(
        &mut self,
        conductor: &Conductor<HttpUpstream>,
        figures: Metrics,
        serving: Arc<AtomicBool>,
        log: &Logger,
    ) -> Result<(), ServeError> {
        let (conductor, store, calls) = (conductor.clone(), self.store.clone(), self.calls.clone());
        let operations = ConductorOperations::new(conductor, store, figures, calls, serving);
        match self.server.take() {
            Some(server) => Ok(server.start(Arc::new(operations), log.clone())?),
            None => Ok(()),
        }
    }

    /// Takes over which instances are excluded. Resolves once that is known: a folder that can't be read says
    /// nothing, and may not be taken for one that holds nothing.
    pub async fn restore_exclusions(&self, conductor: &Conductor<HttpUpstream>, log: &Logger) {
        let mut told = false;
        loop {
            let Some(mark) = self.calls.mark() else {
                sleep(FOLDER_RETRY).await;
                continue;
            };
            let (store, load_log) = (self.store.clone(), log.clone());
            let loaded = tokio::task::spawn_blocking(move || store.load_at_start(&load_log)).await;
            let why = match loaded {
                Ok(Ok(excluded)) => {
                    let excluded = excluded.into_iter().collect();
                    if self.calls.apply_since(mark, || conductor.replace_excluded(excluded)) {
                        return;
                    }
                    continue;
                }
                Ok(Err(e)) => e.to_string(),
                Err(e) => e.to_string(),
            };
            if !std::mem::replace(&mut told, true) {
                warn!(log, "nothing is served until exclusions can be read; see that $TMPDIR can be";
                    "folder" => %self.store.folder().display(), "why" => why);
            }
            sleep(FOLDER_RETRY).await;
        }
    }

    /// Keeps what the next process needs.
    pub fn start(
        self,
        conductor: &Conductor<HttpUpstream>,
        listeners: Listeners,
        log: &Logger,
    ) -> OpsService {
        let Ops { folder, store, snapshot, calls, .. } = self;
        let handover = ListenerHandover::offer(&folder, Arc::new(listeners.listeners), log.clone());
        let files = OpenWorkFiles::in_folder(&folder);
        let shares = tokio::spawn(share_open_work(conductor.clone(), files.clone(), log.clone()));
        let keeps = tokio::spawn(keep_snapshot(conductor.clone(), snapshot, log.clone()));
        let follows = tokio::spawn(follow_exclusions(conductor.clone(), store, calls, log.clone()));
        OpsService {
            handover: Some(handover),
            keeps: Some(AbortOnDropHandle::new(keeps)),
            _follows: AbortOnDropHandle::new(follows),
            _shares: AbortOnDropHandle::new(shares),
            open_work: files,
            _inherited: listeners.inherited,
        }
    }
}

/// The clients' listeners: those that were passed on, else new ones.
pub struct Listeners {
    doors: ClientListeners,
    inherited: Option<InheritedListeners>,
    /// A descriptor of each, to pass on.
    listeners: Vec<TcpListener>,
}

impl Listeners {
    /// None is bound yet.
    pub fn new(doors: &ClientListeners, inherited: Option<InheritedListeners>) -> Self {
        Listeners { doors: doors.clone(), inherited, listeners: Vec::new() }
    }

    /// The listener of an address.
    pub fn bind(&mut self, address: SocketAddr) -> Result<TcpListener, ServeError> {
        let passed_on = self.inherited.as_mut().and_then(|inherited| inherited.take(address));
        let listener = match passed_on {
            Some(listener) => listener,
            None => self.doors.bind(address).map_err(|e| ServeError::Bind(address, e))?,
        };
        self.listeners.push(retry_at_start(is_resource_shortage, || listener.try_clone())?);
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
async fn keep_snapshot(conductor: Conductor<HttpUpstream>, file: SnapshotFile, log: Logger) {
    let mut failed = false;
    loop {
        sleep(SNAPSHOT_EVERY).await;
        let Some(learned) = conductor.export_state().await else { return };
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
async fn share_open_work(conductor: Conductor<HttpUpstream>, files: OpenWorkFiles, log: Logger) {
    let (mut counted, mut failed) = (OpenWork::default(), false);
    loop {
        sleep(OPEN_WORK_EVERY).await;
        let Some(own) = conductor.open_work().await else { return };
        let files = files.clone();
        let Ok(others) = tokio::task::spawn_blocking(move || files.exchange(&own, Instant::now())).await
        else {
            return;
        };
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

/// Whether a folder has to be read again, by the time at which it changed last.
#[derive(Clone, Copy, Default)]
struct ChangeWatch {
    last: Option<SystemTime>,
    reads: u32,
}

impl ChangeWatch {
    /// What changes twice within the file system's smallest step looks like one change, so that each is read
    /// a few times.
    const READS: u32 = 3;

    fn is_due(&mut self, changed: Option<SystemTime>) -> bool {
        if changed.is_none() || changed != self.last {
            (self.last, self.reads) = (changed, 0);
        }
        self.reads < Self::READS
    }
}

/// Takes over what another process of the same conductor was told of exclusions.
async fn follow_exclusions(
    conductor: Conductor<HttpUpstream>,
    store: ExclusionStore,
    calls: CallMarks,
    log: Logger,
) {
    let (mut watch, mut failed) = (ChangeWatch::default(), false);
    loop {
        sleep(EXCLUSIONS_EVERY).await;
        let Some(mark) = calls.mark() else { continue };
        let (reading, load_log, due) = (store.clone(), log.clone(), watch);
        let read = tokio::task::spawn_blocking(move || {
            let mut watch = due;
            let excluded = watch.is_due(reading.changed()).then(|| reading.load(&load_log));
            (watch, excluded)
        });
        let Ok((read_watch, excluded)) = read.await else { return };
        watch = read_watch;
        match excluded {
            None => {}
            Some(Ok(excluded)) => {
                let excluded = excluded.into_iter().collect();
                let applied = calls.apply_since(mark, || conductor.replace_excluded(excluded));
                watch.reads += u32::from(applied);
                failed = false;
            }
            // Never made: nothing has been excluded yet, by any process.
            Some(Err(e)) if e.kind() == ErrorKind::NotFound => {}
            Some(Err(e)) => {
                let first = !std::mem::replace(&mut failed, true);
                // One line for each outage.
                if first {
                    warn!(log, "exclusions could not be read again, and stay as they are"; "why" => %e);
                }
            }
        }
    }
}
