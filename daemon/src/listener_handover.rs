//! Passes the listening sockets from one process of a conductor to the next over a Unix socket, so that both
//! accept from the same queue during an upgrade.

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

/// The byte sent along with the descriptors.
const PROTOCOL_VERSION: &[u8; 1] = b"1";
/// The most descriptors that are passed; no process has more listeners.
const MAX_LISTENERS: usize = 4;
/// A process that does not reply within this time is paused or hangs.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after the handover socket could not be created.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listeners received from the previous process. The connection stays open to show it that this process runs.
pub struct InheritedListeners {
    listeners: Vec<TcpListener>,
    _predecessor: UnixStream,
}

impl InheritedListeners {
    /// Requests the listeners of the process whose socket is in this folder; `None` if there is no reply.
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

    /// Removes and returns the listener bound to an address, if there is one.
    pub fn take(&mut self, address: SocketAddr) -> Option<TcpListener> {
        let index = self
            .listeners
            .iter()
            .position(|listener| listener.local_addr().is_ok_and(|local| local == address))?;
        Some(self.listeners.swap_remove(index))
    }

    /// Closes the listeners that have not been taken. An open descriptor would keep the queue of an address
    /// alive at which this process accepts nothing.
    pub fn close_remaining(&mut self, log: &Logger) {
        for listener in self.listeners.drain(..) {
            let address = listener.local_addr();
            info!(log, "a listener of the previous process is not taken over"; "at" => ?address);
        }
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
        return Err(std::io::Error::other("the process uses another version of the handover protocol"));
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

/// Passes the listeners to every process that requests them, until dropped.
pub struct ListenerHandover {
    successors: watch::Receiver<usize>,
    task: AbortOnDropHandle<()>,
}

impl ListenerHandover {
    /// Starts to offer the listeners on a socket that replaces any socket in the folder. A folder that can't
    /// be written is tried again.
    pub fn offer(folder: &Path, listeners: Arc<Vec<TcpListener>>, log: Logger) -> Self {
        let (count, successors) = watch::channel(0);
        let task = tokio::spawn(serve_successors(folder.to_path_buf(), listeners, Arc::new(count), log));
        ListenerHandover { successors, task: AbortOnDropHandle::new(task) }
    }

    /// Stops the handover; resolves once its copies of the descriptors are closed.
    pub async fn close(self) {
        self.task.abort();
        // The only expected error is the cancellation.
        let _ = self.task.await;
    }

    /// Whether a process runs that has received the listeners.
    pub fn has_successor(&self) -> bool {
        *self.successors.borrow() > 0
    }
}

/// Binds a socket under a temporary name and renames it over any socket in the folder.
fn bind(folder: &Path) -> Result<UnixListener> {
    let (path, temporary) = (socket_path(folder), folder.join(format!("listeners.{}", std::process::id())));
    // May be left over from a process with the same id, or from an earlier attempt.
    let _ = std::fs::remove_file(&temporary);
    state_dir::create(folder)?;
    let socket = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, &path)?;
    Ok(socket)
}

/// Offers the listeners. A successor replaces the socket in the folder with its own; once all successors have
/// exited, this process binds the socket again for the next one.
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
                // Logs once per outage.
                if !std::mem::replace(&mut has_failed, true) {
                    warn!(log, "can't offer the listeners: an upgrade shares the address only";
                        "folder" => %folder.display(), "why" => %e);
                }
                sleep(BIND_RETRY_DELAY).await;
            }
        }
    }
}

/// Resolves once there has been a successor and all successors have exited.
async fn wait_until_successors_exit(successors: &mut watch::Receiver<usize>) {
    // The sender is not dropped while this waits, so these never fail.
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
                warn!(log, "can't accept on the handover socket"; "why" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(e) = send_listeners(&successor, listeners) {
            warn!(log, "could not send the listeners to another process"; "why" => %e);
            continue;
        }
        let (mut successor, successors) = (successor, successors.clone());
        tokio::spawn(async move {
            successors.send_modify(|count| *count += 1);
            // The successor sends nothing: this connection closes when its process exits.
            while matches!(successor.read(&mut [0]).await, Ok(1..)) {}
            successors.send_modify(|count| *count -= 1);
        });
    }
}
