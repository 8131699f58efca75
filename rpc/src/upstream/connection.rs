//! Connections to one server: many streams on each, another where a server allows no more on one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::meter::{Meter, Taken};

/// Connections to one server at most: a server holds only a limited number.
const MOST: usize = 4;
/// What a server may send ahead on one stream, and on all of a connection: a reader who stops is not sent
/// more.
const STREAM_WINDOW: u32 = 256 << 10;
const CONNECTION_WINDOW: u32 = 8 << 20;

/// One connection.
pub(super) struct Connection {
    pub(super) send: SendRequest<Bytes>,
    pub(super) taken: Taken,
    open: Arc<AtomicUsize>,
    task: AbortOnDropHandle<()>,
}

/// A place for one stream on a connection.
#[derive(Debug)]
pub(super) struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What an attempt gets of a connection.
pub(super) struct Lent {
    pub(super) send: SendRequest<Bytes>,
    pub(super) taken: Taken,
    pub(super) place: Place,
}

impl Connection {
    async fn open(to: SocketAddr, within: Duration) -> Option<Self> {
        let opening = async {
            let stream = TcpStream::connect(to).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (stream, taken) = Meter::new(stream);
            let (send, connection) = h2::client::Builder::new()
                .initial_window_size(STREAM_WINDOW)
                .initial_connection_window_size(CONNECTION_WINDOW)
                .max_concurrent_reset_streams(64)
                .enable_push(false)
                .handshake(stream)
                .await
                .ok()?;
            // It ends with the connection. What it ends with, the streams hear themselves.
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            Some(Connection { send, taken, open: Arc::default(), task: AbortOnDropHandle::new(task) })
        };
        timeout(within, opening).await.ok().flatten()
    }

    fn lend(&self) -> Lent {
        self.open.fetch_add(1, Ordering::Relaxed);
        Lent { send: self.send.clone(), taken: self.taken.clone(), place: Place(self.open.clone()) }
    }

    fn has_room(&self) -> bool {
        self.open.load(Ordering::Relaxed) < self.send.current_max_send_streams()
    }
}

/// All connections to one server.
#[derive(Default)]
pub(super) struct Pool {
    connections: Mutex<Vec<Connection>>,
}

impl Pool {
    /// A place on a connection that is up, or on a new one.
    pub(super) async fn lend(&self, to: SocketAddr, within: Duration) -> Option<Lent> {
        let (known, full) = {
            let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
            connections.retain(|c| !c.task.is_finished());
            let free = connections.iter().find(|c| c.has_room()).map(Connection::lend);
            (free, connections.len() >= MOST)
        };
        if known.is_some() || full {
            return known.or_else(|| self.any());
        }
        let connection = Connection::open(to, within).await?;
        let lent = connection.lend();
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        connections.push(connection);
        Some(lent)
    }

    /// Where no server allows more streams, one waits for a place on the connection with the fewest.
    fn any(&self) -> Option<Lent> {
        let connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        connections.iter().min_by_key(|c| c.open.load(Ordering::Relaxed)).map(Connection::lend)
    }

    /// Forgets a connection that turned out to be of no further use for new streams.
    pub(super) fn forget(&self, taken: &Taken) {
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        // Streams that run on it go on: its task lives until they have ended.
        if let Some(at) = connections.iter().position(|c| c.taken.is(taken)) {
            let Connection { task, .. } = connections.swap_remove(at);
            task.detach();
        }
    }
}
