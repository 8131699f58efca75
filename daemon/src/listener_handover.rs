//! Passing the listeners on from one process of a conductor to the next, so that both accept from one queue.

use std::io::{IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use slog::{info, warn, Logger};
use tokio::io::AsyncReadExt;
use tokio::net::UnixListener;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::state_dir;

/// What goes along with the descriptors; the version of this exchange.
const GREETING: &[u8; 1] = b"1";
/// No process has more listeners.
const LISTENERS_MAX: usize = 4;
/// A process that has not answered by then is paused or hangs.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// After a socket that could not be made.
const OFFER_AGAIN: Duration = Duration::from_millis(500);
/// After an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Listeners that the process before has passed on, and the connection that tells it that this one lives.
pub struct InheritedListeners {
    listeners: Vec<TcpListener>,
    _predecessor: UnixStream,
}

impl InheritedListeners {
    /// Asks the process whose socket lies in this folder; `None` where nobody answers.
    pub fn request(folder: &Path, log: &Logger) -> Option<Self> {
        let asked = UnixStream::connect(path(folder)).and_then(receive);
        match asked {
            Ok(inherited) => {
                info!(log, "listeners taken over"; "count" => inherited.listeners.len());
                Some(inherited)
            }
            Err(e) => {
                info!(log, "no process passes its listeners on"; "why" => %e);
                None
            }
        }
    }

    /// The listener of an address, if it is among them.
    pub fn take(&mut self, address: SocketAddr) -> Option<TcpListener> {
        let at = self.listeners.iter().position(|l| l.local_addr().is_ok_and(|own| own == address))?;
        Some(self.listeners.swap_remove(at))
    }
}

fn path(folder: &Path) -> PathBuf {
    folder.join("listeners")
}

fn receive(predecessor: UnixStream) -> Result<InheritedListeners> {
    predecessor.set_read_timeout(Some(ANSWER_WITHIN))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS_MAX))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut greeting = [0; GREETING.len()];
    let received =
        recvmsg(&predecessor, &mut [IoSliceMut::new(&mut greeting)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if received.bytes == 0 || greeting != *GREETING {
        return Err(std::io::Error::other("it speaks another version"));
    }
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let listeners = descriptors.flatten().map(TcpListener::from).collect();
    Ok(InheritedListeners { listeners, _predecessor: predecessor })
}

fn send(successor: &tokio::net::UnixStream, listeners: &[TcpListener]) -> Result<()> {
    let descriptors: Vec<_> = listeners.iter().take(LISTENERS_MAX).map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS_MAX))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    sendmsg(successor, &[IoSlice::new(GREETING)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Passes listeners on to whoever asks, for as long as this lives.
pub struct ListenerHandover {
    successors: watch::Receiver<usize>,
    task: AbortOnDropHandle<()>,
}

impl ListenerHandover {
    /// Takes the place of whatever socket lies in the folder, as soon as the folder allows it.
    pub fn offer(folder: &Path, listeners: Arc<Vec<TcpListener>>, log: Logger) -> Self {
        let (count, successors) = watch::channel(0);
        let task = tokio::spawn(pass_on(folder.to_path_buf(), listeners, Arc::new(count), log));
        ListenerHandover { successors, task: AbortOnDropHandle::new(task) }
    }

    /// Resolves once its descriptors of the listeners are closed.
    pub async fn close(self) {
        self.task.abort();
        // An error says that it was ended, as it should.
        let _ = self.task.await;
    }

    /// Whether a process lives that has the listeners too.
    pub fn has_successor(&self) -> bool {
        *self.successors.borrow() > 0
    }
}

/// Puts a socket in the place of whatever lies in the folder.
fn bind(folder: &Path) -> Result<UnixListener> {
    let (path, own) = (path(folder), folder.join(format!("listeners.{}", std::process::id())));
    // Left by a process that had this id before, or by an earlier try.
    let _ = std::fs::remove_file(&own);
    state_dir::create(folder)?;
    let socket = UnixListener::bind(&own)?;
    std::fs::rename(&own, &path)?;
    Ok(socket)
}

/// Offers the listeners. A successor takes the place of the socket in the folder; where none is left, this
/// process takes it again, for the next.
async fn pass_on(
    folder: PathBuf,
    listeners: Arc<Vec<TcpListener>>,
    successors: Arc<watch::Sender<usize>>,
    log: Logger,
) {
    let mut failed = false;
    loop {
        match bind(&folder) {
            Ok(socket) => {
                failed = false;
                let mut left = successors.subscribe();
                tokio::select! {
                    () = accept(socket, &listeners, &successors, &log) => {}
                    () = all_left(&mut left) => {}
                }
            }
            Err(e) => {
                // One line for each outage.
                if !std::mem::replace(&mut failed, true) {
                    warn!(log, "listeners can't be passed on: an upgrade shares the address only";
                        "folder" => %folder.display(), "why" => %e);
                }
                sleep(OFFER_AGAIN).await;
            }
        }
    }
}

/// Resolves once there was a successor and there is none any more.
async fn all_left(successors: &mut watch::Receiver<usize>) {
    // The sender lives as long as whoever waits here.
    let _ = successors.wait_for(|count| *count > 0).await;
    let _ = successors.wait_for(|count| *count == 0).await;
}

async fn accept(
    socket: UnixListener,
    listeners: &[TcpListener],
    successors: &Arc<watch::Sender<usize>>,
    log: &Logger,
) {
    loop {
        let successor = match socket.accept().await {
            Ok((successor, _)) => successor,
            Err(e) => {
                warn!(log, "listeners can't be passed on"; "why" => %e);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(e) = send(&successor, listeners) {
            warn!(log, "listeners were not passed on"; "why" => %e);
            continue;
        }
        let (mut successor, successors) = (successor, successors.clone());
        tokio::spawn(async move {
            successors.send_modify(|count| *count += 1);
            // It sends nothing: the end of this connection is that of its process.
            while matches!(successor.read(&mut [0]).await, Ok(1..)) {}
            successors.send_modify(|count| *count -= 1);
        });
    }
}
