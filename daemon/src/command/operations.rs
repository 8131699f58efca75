//! The parts of `frosttrail serve` that run when an operators' address is configured: the operators' server,
//! the state that outlives the process, and the handover to a new process.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use frosttrail::OpenWork;
use frosttrail_core::{Conductor, InheritedState, Metrics, SharedIdClaims};
use frosttrail_daemon::config::Config;
use frosttrail_daemon::front::ClientListeners;
use frosttrail_daemon::listener_handover::{InheritedListeners, ListenerHandover};
use frosttrail_daemon::open_work_files::OpenWorkFiles;
use frosttrail_daemon::ops::{CallTracker, ConductorOperations, ExclusionStore, OpsServer};
use frosttrail_daemon::request_id_locks::RequestIdLocks;
use frosttrail_daemon::snapshot_file::SnapshotFile;
use frosttrail_daemon::state_dir;
use frosttrail_daemon::transient::{is_resource_shortage, retry_at_start};
use frosttrail_daemon::upstream::HttpUpstream;
use slog::{warn, Logger};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use super::CommandError;

/// How often the learned state is written.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// How often the open work at servers is exchanged with other processes.
const OPEN_WORK_INTERVAL: Duration = Duration::from_millis(100);
/// How often the exclusions are read that another process has stored. It must be well below the time within
/// which a drain has to take effect.
const EXCLUSIONS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often reading the exclusions is retried at startup, before requests are served.
const FOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The state that the previous process learned, and its age.
pub type PreviousState = Option<(InheritedState, Duration)>;

/// What the conductor shares with the previous process and with those that run beside it.
#[derive(Default)]
pub struct UpgradeState {
    /// What the previous process learned.
    pub inherited: PreviousState,
    /// The claims of the ids of open requests.
    pub id_claims: Option<Arc<dyn SharedIdClaims>>,
}

/// The bound operators' server, and what was taken over from the previous process.
pub struct OpsSetup {
    server: Option<OpsServer>,
    folder: PathBuf,
    store: ExclusionStore,
    snapshot: SnapshotFile,
    previous_state: PreviousState,
    inherited: Option<InheritedListeners>,
    calls: CallTracker,
}

impl OpsSetup {
    /// Binds the address, then requests the listeners and reads the snapshot of the previous process.
    pub fn open(address: SocketAddr, config: &Config, log: &Logger) -> Result<Self, CommandError> {
        let server = OpsServer::bind(address).map_err(|e| CommandError::Bind(address, e))?;
        let folder = state_dir::path(&config.name, config.listen);
        let inherited = InheritedListeners::request(&folder, log);
        let (store, snapshot) = (ExclusionStore::in_folder(&folder), SnapshotFile::in_folder(&folder));
        state_dir::remove_leftovers(&folder);
        state_dir::remove_leftovers(store.folder());
        let previous_state = snapshot.read().unwrap_or_else(|e| {
            warn!(log, "the snapshot of the previous process is passed over"; "why" => %e);
            None
        });
        let (server, calls) = (Some(server), CallTracker::default());
        Ok(OpsSetup { server, folder, store, snapshot, previous_state, inherited, calls })
    }

    /// Takes the state for the conductor; later calls return no inherited state.
    pub fn take_upgrade_state(&mut self, log: &Logger) -> UpgradeState {
        let id_claims = RequestIdLocks::in_folder(&self.folder, log.clone());
        UpgradeState { inherited: self.previous_state.take(), id_claims: Some(Arc::new(id_claims)) }
    }

    /// Takes the listeners of the previous process; later calls return `None`.
    pub fn take_inherited_listeners(&mut self) -> Option<InheritedListeners> {
        self.inherited.take()
    }

    /// Starts to answer operators' calls; `is_serving` is set while the process accepts requests.
    pub fn answer_calls(
        &mut self,
        conductor: &Conductor<HttpUpstream>,
        metrics: Metrics,
        is_serving: Arc<AtomicBool>,
        log: &Logger,
    ) -> Result<(), CommandError> {
        let (conductor, store, calls) = (conductor.clone(), self.store.clone(), self.calls.clone());
        let operations = ConductorOperations::new(conductor, store, metrics, calls, is_serving);
        match self.server.take() {
            Some(server) => Ok(server.start(Arc::new(operations), log.clone())?),
            None => Ok(()),
        }
    }

    /// Restores the stored exclusions. Resolves once they have been read: a folder that can't be read must
    /// not be treated as an empty one.
    pub async fn restore_exclusions(&self, conductor: &Conductor<HttpUpstream>, log: &Logger) {
        let mut is_logged = false;
        loop {
            let Some(checkpoint) = self.calls.checkpoint() else {
                sleep(FOLDER_RETRY_INTERVAL).await;
                continue;
            };
            let (store, load_log) = (self.store.clone(), log.clone());
            let loaded = tokio::task::spawn_blocking(move || store.load_at_start(&load_log)).await;
            let why = match loaded {
                Ok(Ok(excluded)) => {
                    let excluded = excluded.into_iter().collect();
                    if self.calls.apply_since(checkpoint, || conductor.replace_excluded(excluded)) {
                        return;
                    }
                    continue;
                }
                Ok(Err(e)) => e.to_string(),
                Err(e) => e.to_string(),
            };
            if !std::mem::replace(&mut is_logged, true) {
                warn!(log, "no requests are served until exclusions can be read; check $TMPDIR";
                    "folder" => %self.store.folder().display(), "why" => why);
            }
            sleep(FOLDER_RETRY_INTERVAL).await;
        }
    }

    /// Starts the tasks that offer the listeners, write the snapshot, share the open work and follow the
    /// exclusions that other processes store.
    pub fn start(
        self,
        conductor: &Conductor<HttpUpstream>,
        listeners: Listeners,
        log: &Logger,
    ) -> OpsService {
        let OpsSetup { folder, store, snapshot, calls, .. } = self;
        let Listeners { mut inherited, duplicates, .. } = listeners;
        if let Some(inherited) = &mut inherited {
            inherited.close_remaining(log);
        }
        let handover = ListenerHandover::offer(&folder, Arc::new(duplicates), log.clone());
        let files = OpenWorkFiles::in_folder(&folder);
        let open_work_task = tokio::spawn(share_open_work(conductor.clone(), files.clone(), log.clone()));
        let snapshot_task = tokio::spawn(write_snapshots(conductor.clone(), snapshot, log.clone()));
        let exclusions_task = tokio::spawn(poll_exclusions(conductor.clone(), store, calls, log.clone()));
        OpsService {
            handover: Some(handover),
            snapshot_task: Some(AbortOnDropHandle::new(snapshot_task)),
            _exclusions_task: AbortOnDropHandle::new(exclusions_task),
            _open_work_task: AbortOnDropHandle::new(open_work_task),
            open_work: files,
            _inherited: inherited,
        }
    }
}

/// The listeners for clients: inherited from the previous process, or newly bound.
pub struct Listeners {
    client_listeners: ClientListeners,
    inherited: Option<InheritedListeners>,
    /// A duplicate of each listener, for the handover.
    duplicates: Vec<TcpListener>,
}

impl Listeners {
    /// Starts without any listener.
    pub fn new(client_listeners: &ClientListeners, inherited: Option<InheritedListeners>) -> Self {
        Listeners { client_listeners: client_listeners.clone(), inherited, duplicates: Vec::new() }
    }

    /// Takes the inherited listener of an address, or binds a new one.
    pub fn bind(&mut self, address: SocketAddr) -> Result<TcpListener, CommandError> {
        let inherited = self.inherited.as_mut().and_then(|inherited| inherited.take(address));
        let listener = match inherited {
            Some(listener) => listener,
            None => self.client_listeners.bind(address).map_err(|e| CommandError::Bind(address, e))?,
        };
        self.duplicates.push(retry_at_start(is_resource_shortage, || listener.try_clone())?);
        Ok(listener)
    }
}

/// The running tasks. Dropping this stops them and removes the open work file.
pub struct OpsService {
    handover: Option<ListenerHandover>,
    snapshot_task: Option<AbortOnDropHandle<()>>,
    _exclusions_task: AbortOnDropHandle<()>,
    _open_work_task: AbortOnDropHandle<()>,
    open_work: OpenWorkFiles,
    /// Its open connection shows the previous process that this one runs.
    _inherited: Option<InheritedListeners>,
}

impl OpsService {
    /// Begins a graceful shutdown: stops writing snapshots, which the next process does from now on, but
    /// still follows changes of the exclusions. Returns the handover of the listeners.
    pub fn begin_shutdown(&mut self) -> Option<ListenerHandover> {
        self.snapshot_task = None;
        self.handover.take()
    }
}

/// Writes the learned state at intervals, for the next process.
async fn write_snapshots(conductor: Conductor<HttpUpstream>, file: SnapshotFile, log: Logger) {
    let mut has_failed = false;
    loop {
        sleep(SNAPSHOT_INTERVAL).await;
        let Some(state) = conductor.export_state().await else { return };
        let file = file.clone();
        let written = tokio::task::spawn_blocking(move || file.write(&state)).await;
        let Ok(written) = written else { return };
        if let Err(e) = &written {
            // Logs once per outage.
            if !has_failed {
                warn!(log, "could not write the snapshot"; "why" => %e);
            }
        }
        has_failed = written.is_err();
    }
}

impl Drop for OpsService {
    fn drop(&mut self) {
        self.open_work.remove();
    }
}

/// Shares the open work of this process with the other processes of the conductor, and passes theirs to the
/// decisions.
async fn share_open_work(conductor: Conductor<HttpUpstream>, files: OpenWorkFiles, log: Logger) {
    let (mut applied, mut has_failed) = (OpenWork::default(), false);
    loop {
        sleep(OPEN_WORK_INTERVAL).await;
        let Some(own) = conductor.open_work().await else { return };
        let files = files.clone();
        let Ok(others) = tokio::task::spawn_blocking(move || files.exchange(&own, Instant::now())).await
        else {
            return;
        };
        match others {
            Ok(others) => {
                if others != applied {
                    conductor.set_foreign_work(others.clone());
                    applied = others;
                }
                has_failed = false;
            }
            Err(e) => {
                // Logs once per outage.
                if !has_failed {
                    warn!(log, "could not share open work with other processes"; "why" => %e);
                }
                has_failed = true;
            }
        }
    }
}

/// Decides by a folder's modification time whether it has to be read again.
#[derive(Clone, Copy, Default)]
struct ChangeWatch {
    last_change: Option<SystemTime>,
    reads: u32,
}

impl ChangeWatch {
    /// Two changes within the resolution of the file system's clock look like one, so that the folder is read
    /// a few times after each change.
    const READS_PER_CHANGE: u32 = 3;

    fn is_due(&mut self, changed: Option<SystemTime>) -> bool {
        if changed.is_none() || changed != self.last_change {
            (self.last_change, self.reads) = (changed, 0);
        }
        self.reads < Self::READS_PER_CHANGE
    }
}

/// Applies the exclusions that other processes of the same conductor have stored.
async fn poll_exclusions(
    conductor: Conductor<HttpUpstream>,
    store: ExclusionStore,
    calls: CallTracker,
    log: Logger,
) {
    let (mut watch, mut has_failed) = (ChangeWatch::default(), false);
    loop {
        sleep(EXCLUSIONS_POLL_INTERVAL).await;
        let Some(checkpoint) = calls.checkpoint() else { continue };
        let (reading, load_log, due) = (store.clone(), log.clone(), watch);
        let read = tokio::task::spawn_blocking(move || {
            let mut watch = due;
            let excluded = watch.is_due(reading.last_modified()).then(|| reading.load(&load_log));
            (watch, excluded)
        });
        let Ok((read_watch, excluded)) = read.await else { return };
        watch = read_watch;
        match excluded {
            None => {}
            Some(Ok(excluded)) => {
                let excluded = excluded.into_iter().collect();
                let is_applied = calls.apply_since(checkpoint, || conductor.replace_excluded(excluded));
                watch.reads += u32::from(is_applied);
                has_failed = false;
            }
            // The folder does not exist until a process stores the first exclusion.
            Some(Err(e)) if e.kind() == ErrorKind::NotFound => {}
            Some(Err(e)) => {
                let is_first = !std::mem::replace(&mut has_failed, true);
                // Logs once per outage.
                if is_first {
                    warn!(log, "could not read exclusions; those in force stay"; "why" => %e);
                }
            }
        }
    }
}
