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
use frosttrail_daemon::transient::{is_shortage, retry_at_start};
use frosttrail_daemon::upstream::HttpUpstream;
use slog::{warn, Logger};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use super::CommandError;

/// What was learned is written this often.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// What is open at instances is told to other processes this often.
const OPEN_WORK_INTERVAL: Duration = Duration::from_millis(100);
/// What another process was told of exclusions is read this often, well within the rule on drains.
const EXCLUSIONS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often a folder that can't be read is tried again before anything is served.
const FOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What was learned by the process before, and how long ago that was written.
pub type PreviousState = Option<(InheritedState, Duration)>;

/// The operators' address, bound, and what the process before has left.
pub struct OpsSetup {
    server: Option<OpsServer>,
    folder: PathBuf,
    store: ExclusionStore,
    snapshot: SnapshotFile,
    previous_state: PreviousState,
    inherited: Option<InheritedListeners>,
    calls: CallMarks,
}

impl OpsSetup {
    /// Binds the address and takes over what there is.
    pub fn open(address: SocketAddr, config: &Config, log: &Logger) -> Result<Self, CommandError> {
        let server = OpsServer::bind(address).map_err(|e| CommandError::Bind(address, e))?;
        let folder = state_dir::path(&config.name, config.listen);
        let inherited = InheritedListeners::request(&folder, log);
        let (store, snapshot) = (ExclusionStore::in_folder(&folder), SnapshotFile::in_folder(&folder));
        state_dir::remove_leftovers(&folder);
        state_dir::remove_leftovers(store.folder());
        let previous_state = snapshot.read().unwrap_or_else(|e| {
            warn!(log, "what the process before has learned is passed over"; "why" => %e);
            None
        });
        let (server, calls) = (Some(server), CallMarks::default());
        Ok(OpsSetup { server, folder, store, snapshot, previous_state, inherited, calls })
    }

    /// What is for the conductor; once.
    pub fn take_previous_state(&mut self) -> PreviousState {
        self.previous_state.take()
    }

    /// The listeners that were passed on; once.
    pub fn take_inherited_listeners(&mut self) -> Option<InheritedListeners> {
        self.inherited.take()
    }

    /// Answers calls from now on; `serving` is set while the process takes requests.
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

    /// Takes over which instances are excluded. Resolves once that is known: a folder that can't be read says
    /// nothing, and may not be taken for one that holds nothing.
    pub async fn restore_exclusions(&self, conductor: &Conductor<HttpUpstream>, log: &Logger) {
        let mut is_logged = false;
        loop {
            let Some(mark) = self.calls.mark() else {
                sleep(FOLDER_RETRY_INTERVAL).await;
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
            if !std::mem::replace(&mut is_logged, true) {
                warn!(log, "nothing is served until exclusions can be read; see that $TMPDIR can be";
                    "folder" => %self.store.folder().display(), "why" => why);
            }
            sleep(FOLDER_RETRY_INTERVAL).await;
        }
    }

    /// Keeps what the next process needs.
    pub fn start(
        self,
        conductor: &Conductor<HttpUpstream>,
        listeners: Listeners,
        log: &Logger,
    ) -> OpsService {
        let OpsSetup { folder, store, snapshot, calls, .. } = self;
        let handover = ListenerHandover::offer(&folder, Arc::new(listeners.duplicates), log.clone());
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
            _inherited: listeners.inherited,
        }
    }
}

/// The clients' listeners: those that were passed on, else new ones.
pub struct Listeners {
    client_listeners: ClientListeners,
    inherited: Option<InheritedListeners>,
    /// A descriptor of each, to pass on.
    duplicates: Vec<TcpListener>,
}

impl Listeners {
    /// None is bound yet.
    pub fn new(client_listeners: &ClientListeners, inherited: Option<InheritedListeners>) -> Self {
        Listeners { client_listeners: client_listeners.clone(), inherited, duplicates: Vec::new() }
    }

    /// The listener of an address.
    pub fn bind(&mut self, address: SocketAddr) -> Result<TcpListener, CommandError> {
        let inherited = self.inherited.as_mut().and_then(|inherited| inherited.take(address));
        let listener = match inherited {
            Some(listener) => listener,
            None => self.client_listeners.bind(address).map_err(|e| CommandError::Bind(address, e))?,
        };
        self.duplicates.push(retry_at_start(is_shortage, || listener.try_clone())?);
        Ok(listener)
    }
}

/// The running parts.
pub struct OpsService {
    handover: Option<ListenerHandover>,
    snapshot_task: Option<AbortOnDropHandle<()>>,
    _exclusions_task: AbortOnDropHandle<()>,
    _open_work_task: AbortOnDropHandle<()>,
    open_work: OpenWorkFiles,
    /// For the process before, to which it says that this one lives.
    _inherited: Option<InheritedListeners>,
}

impl OpsService {
    /// An end is planned: the process that takes over writes what is learned from now on, while what is
    /// excluded still binds this one. Gives what passes the listeners on.
    pub fn begin_shutdown(&mut self) -> Option<ListenerHandover> {
        self.snapshot_task = None;
        self.handover.take()
    }
}

/// Writes what was learned again and again, for the process that takes over.
async fn write_snapshots(conductor: Conductor<HttpUpstream>, file: SnapshotFile, log: Logger) {
    let mut has_failed = false;
    loop {
        sleep(SNAPSHOT_INTERVAL).await;
        let Some(state) = conductor.export_state().await else { return };
        let file = file.clone();
        let written = tokio::task::spawn_blocking(move || file.write(&state)).await;
        let Ok(written) = written else { return };
        if let Err(e) = &written {
            // One line for each outage.
            if !has_failed {
                warn!(log, "what was learned could not be written"; "why" => %e);
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

/// Tells the other processes of the same conductor what this one has open, and counts what they have.
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
                // One line for each outage.
                if !has_failed {
                    warn!(log, "open work can't be told to other processes"; "why" => %e);
                }
                has_failed = true;
            }
        }
    }
}

/// Whether a folder has to be read again, by the time at which it changed last.
#[derive(Clone, Copy, Default)]
struct ChangeWatch {
    last_change: Option<SystemTime>,
    reads: u32,
}

impl ChangeWatch {
    /// What changes twice within the file system's smallest step looks like one change, so that each is read
    /// a few times.
    const READS_PER_CHANGE: u32 = 3;

    fn is_due(&mut self, changed: Option<SystemTime>) -> bool {
        if changed.is_none() || changed != self.last_change {
            (self.last_change, self.reads) = (changed, 0);
        }
        self.reads < Self::READS_PER_CHANGE
    }
}

/// Takes over what another process of the same conductor was told of exclusions.
async fn poll_exclusions(
    conductor: Conductor<HttpUpstream>,
    store: ExclusionStore,
    calls: CallMarks,
    log: Logger,
) {
    let (mut watch, mut has_failed) = (ChangeWatch::default(), false);
    loop {
        sleep(EXCLUSIONS_POLL_INTERVAL).await;
        let Some(mark) = calls.mark() else { continue };
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
                let is_applied = calls.apply_since(mark, || conductor.replace_excluded(excluded));
                watch.reads += u32::from(is_applied);
                has_failed = false;
            }
            // Never made: nothing has been excluded yet, by any process.
            Some(Err(e)) if e.kind() == ErrorKind::NotFound => {}
            Some(Err(e)) => {
                let is_first = !std::mem::replace(&mut has_failed, true);
                // One line for each outage.
                if is_first {
                    warn!(log, "exclusions could not be read again, and stay as they are"; "why" => %e);
                }
            }
        }
    }
}
