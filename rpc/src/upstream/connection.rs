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

use super::meter::{CountingSocket, WrittenBytes};

/// Connections to one server at most: a server holds only a limited number.
const MAX_CONNECTIONS_PER_SERVER: usize = 4;
/// What a server may send ahead on one stream, and on all of a connection: a reader who stops is not sent
/// more.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// One connection.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) written_bytes: WrittenBytes,
    open_streams: Arc<AtomicUsize>,
    task: AbortOnDropHandle<()>,
}

/// A place for one stream on a connection.
#[derive(Debug)]
pub(super) struct StreamSlot(Arc<AtomicUsize>);

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What an attempt gets of a connection.
pub(super) struct StreamLease {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) written_bytes: WrittenBytes,
    pub(super) slot: StreamSlot,
}

impl Connection {
    async fn open(address: SocketAddr, connect_timeout: Duration) -> Option<Self> {
        let opening = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (stream, written_bytes) = CountingSocket::new(stream);
            let (sender, connection) = h2::client::Builder::new()
                .initial_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .max_concurrent_reset_streams(64)
                .enable_push(false)
                .handshake(stream)
                .await
                .ok()?;
            // It ends with the connection. What it ends with, the streams hear themselves.
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            Some(Connection {
                sender,
                written_bytes,
                open_streams: Arc::default(),
                task: AbortOnDropHandle::new(task),
            })
        };
        timeout(connect_timeout, opening).await.ok().flatten()
    }

    fn lease_stream(&self) -> StreamLease {
        self.open_streams.fetch_add(1, Ordering::Relaxed);
        StreamLease {
            sender: self.sender.clone(),
            written_bytes: self.written_bytes.clone(),
            slot: StreamSlot(self.open_streams.clone()),
        }
    }

    fn has_free_stream(&self) -> bool {
        self.open_streams.load(Ordering::Relaxed) < self.sender.current_max_send_streams()
    }
}

/// All connections to one server.
#[derive(Default)]
pub(super) struct ConnectionPool {
    connections: Mutex<Vec<Connection>>,
}

impl ConnectionPool {
    /// A place on a connection that is up, or on a new one.
    pub(super) async fn lease_stream(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Option<StreamLease> {
        let (available, is_full) = {
            let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
            connections.retain(|c| !c.task.is_finished());
            let available = connections.iter().find(|c| c.has_free_stream()).map(Connection::lease_stream);
            (available, connections.len() >= MAX_CONNECTIONS_PER_SERVER)
        };
        if available.is_some() || is_full {
            return available.or_else(|| self.lease_least_used());
        }
        let connection = Connection::open(address, connect_timeout).await?;
        let lease = connection.lease_stream();
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        connections.push(connection);
        Some(lease)
    }

    /// Where no server allows more streams, one waits for a place on the connection with the fewest.
    fn lease_least_used(&self) -> Option<StreamLease> {
        let connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        connections
            .iter()
            .min_by_key(|c| c.open_streams.load(Ordering::Relaxed))
            .map(Connection::lease_stream)
    }

    /// Forgets a connection that turned out to be of no further use for new streams.
    pub(super) fn remove(&self, written_bytes: &WrittenBytes) {
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        // Streams that run on it go on: its task lives until they have ended.
        if let Some(index) =
            connections.iter().position(|connection| connection.written_bytes.is_same_socket(written_bytes))
        {
            let Connection { task, .. } = connections.swap_remove(index);
            task.detach();
        }
    }
}
