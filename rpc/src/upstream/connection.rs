//! The connections to one server. Each carries many streams, and another one is opened when all have reached
//! the server's limit of streams.

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

/// Servers accept only a limited number of connections.
const MAX_CONNECTIONS_PER_SERVER: usize = 4;
/// Flow-control windows of a stream and of a connection. They bound what a server sends to a client that has
/// stopped reading.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// A connection.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) written_bytes: WrittenBytes,
    open_streams: Arc<AtomicUsize>,
    task: AbortOnDropHandle<()>,
}

/// Counts one open stream of a connection until it is dropped.
#[derive(Debug)]
pub(super) struct StreamSlot(Arc<AtomicUsize>);

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The right to open one stream on a connection.
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
            // The task ends with the connection. The streams receive its error themselves.
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

/// The connections to one server.
#[derive(Default)]
pub(super) struct ConnectionPool {
    connections: Mutex<Vec<Connection>>,
}

impl ConnectionPool {
    /// Leases a stream on an open connection below the server's limit of streams, or else on a new one.
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

    /// Leases a stream on the connection with the fewest. If that is at the server's limit, the stream waits
    /// until another one has ended.
    fn lease_least_used(&self) -> Option<StreamLease> {
        let connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        connections
            .iter()
            .min_by_key(|c| c.open_streams.load(Ordering::Relaxed))
            .map(Connection::lease_stream)
    }

    /// Removes a connection on which no more streams can be opened.
    pub(super) fn remove(&self, written_bytes: &WrittenBytes) {
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        // Streams that are open continue: the detached task runs until they have ended.
        if let Some(index) =
            connections.iter().position(|connection| connection.written_bytes.is_same_socket(written_bytes))
        {
            let Connection { task, .. } = connections.swap_remove(index);
            task.detach();
        }
    }
}
