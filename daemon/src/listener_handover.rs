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
const PROTOCOL_VERSION: &[u8; 1] = b"1";
/// No process has more listeners.
const MAX_LISTENERS: usize = 4;
/// A process that has not answered by then is paused or hangs.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// After a socket that could not be made.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);
/// After an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listeners that the process before has passed on, and the connection that tells it that this one lives.
pub struct InheritedListeners {
    listeners: Vec<TcpListener>,
    _predecessor: UnixStream,
}

impl InheritedListeners {
    /// Asks the process whose socket lies in this folder; `None` where nobody answers.
    pub fn request(folder: &Path, log: &Logger) -> Option<Self> {
        let reply = UnixStream::connect(socket_path(folder)).and_then(receive_listeners);
        match reply {
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
        let index = self
            .listeners
            .iter()
            .position(|listener| listener.local_addr().is_ok_and(|local| local == address))?;
        Some(self.listeners.swap_remove(index))
    }
}

fn socket_path(folder: &Path) -> PathBuf {
    folder.join("listeners")
}

fn receive_listeners(predecessor: UnixStream) -> Result<InheritedListeners> {
    predecessor.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut version = [0; PROTOCOL_VERSION.len()];
    let received =
        recvmsg(&predecessor, &mut [IoSliceMut::new(&mut version)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if received.bytes == 0 || version != *PROTOCOL_VERSION {
        return Err(std::io::Error::other("it speaks another version"));
    }
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let listeners = descriptors.flatten().map(TcpListener::from).collect();
    Ok(InheritedListeners { listeners, _predecessor: predecessor })
}

fn send_listeners(successor: &tokio::net::UnixStream, listeners: &[TcpListener]) -> Result<()> {
    let descriptors: Vec<_> = listeners.iter().take(MAX_LISTENERS).map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    sendmsg(successor, &[IoSlice::new(PROTOCOL_VERSION)], &mut control, SendFlags::NOSIGNAL)?;
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
        let task = tokio::spawn(serve_successors(folder.to_path_buf(), listeners, Arc::new(count), log));
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
    let (path, temporary) = (socket_path(folder), folder.join(format!("listeners.{}", std::process::id())));
    // Left by a process that had this id before, or by an earlier try.
    let _ = std::fs::remove_file(&temporary);
    state_dir::create(folder)?;
    let socket = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, &path)?;
    Ok(socket)
}

/// Offers the listeners. A successor takes the place of the socket in the folder; where none is left, this
/// process takes it again, for the next.
async fn serve_successors(
    folder: PathBuf,
    listeners: Arc<Vec<TcpListener>>,
    successors: Arc<watch::Sender<usize>>,
    log: Logger,
) {
    let mut has_failed = false;
    loop {
        match bind(&folder) {
            Ok(socket) => {
                has_failed = false;
                let mut successor_count = successors.subscribe();
                tokio::select! {
                    () = accept_successors(socket, &listeners, &successors, &log) => {}
                    () = wait_until_successors_exit(&mut successor_count) => {}
                }
            }
            Err(e) => {
                // One line for each outage.
                if !std::mem::replace(&mut has_failed, true) {
                    warn!(log, "listeners can't be passed on: an upgrade shares the address only";
                        "folder" => %folder.display(), "why" => %e);
                }
                sleep(BIND_RETRY_DELAY).await;
            }
        }
    }
}

/// Resolves once there was a successor and there is none any more.
async fn wait_until_successors_exit(successors: &mut watch::Receiver<usize>) {
    // The sender lives as long as whoever waits here.
    let _ = successors.wait_for(|count| *count > 0).await;
    let _ = successors.wait_for(|count| *count == 0).await;
}

async fn accept_successors(
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
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(e) = send_listeners(&successor, listeners) {
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
