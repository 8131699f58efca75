//! Runs one connection from the handshake to its end: the calling task reads, a second task writes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use futures_util::StreamExt;
use slog::{debug, info, o, Logger};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::{Encoder, FramedRead};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::activity::{ActivityReader, LastActivity};
use super::session_manager::{queued_size, OpenConnection, SessionManager, WriteItem};
use crate::receiver::RouteId;
use crate::sender::ProtocolError;
use crate::wire::{chunk_header, Codec, Frame, Hello, WireError, FEATURE_GRANT_RECEIPTS, VERSION};
use crate::ConnectionId;

/// Initial and smallest size of a read buffer. A chunk keeps the buffer that it was read into, so with a
/// larger value small chunks would occupy much more memory than their own size.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// A write that makes no progress for this long closes the connection: the peer is alive but reads nothing.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a connection was closed.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("{0}")]
    Protocol(#[from] ProtocolError),
    #[error("the handshake timed out")]
    HandshakeTimeout,
    #[error("no data from the peer within the silence timeout")]
    Silence,
    #[error("the outgoing queue is full: the peer requests much and reads nothing")]
    QueueOverflow,
    #[error("idle")]
    Idle,
    #[error("closed")]
    Closed,
}

impl CloseReason {
    /// Whether the peer is at fault: it violated the protocol, sent no hello frame in time, or overflowed its
    /// outgoing queue by not reading.
    fn is_fault(&self) -> bool {
        match self {
            CloseReason::Wire(e) => !matches!(e, WireError::Io(_) | WireError::Truncated),
            CloseReason::Protocol(_) | CloseReason::HandshakeTimeout | CloseReason::QueueOverflow => true,
            CloseReason::Silence | CloseReason::Idle | CloseReason::Closed => false,
        }
    }
}

/// Serves a connection until it ends. Returns whether the handshake succeeded.
pub(crate) async fn serve(
    manager: Arc<SessionManager>,
    stream: TcpStream,
    peer: SocketAddr,
    route: Option<RouteId>,
) -> bool {
    let log = manager.log.new(o!("peer" => peer));
    // Small frames are replies that the peer waits for; without this they would be delayed.
    let _ = stream.set_nodelay(true);
    let (read_half, mut write_half) = stream.into_split();
    let (reader, last_activity) = ActivityReader::new(read_half, manager.clock);
    let mut frames = FramedRead::with_capacity(reader, Codec::default(), READ_BUFFER_BYTES);
    let hello =
        match timeout(manager.config.handshake_timeout, handshake(&manager, &mut frames, &mut write_half))
            .await
        {
            Ok(Ok(hello)) => hello,
            Ok(Err(e)) => {
                log_close(&log, &CloseReason::Wire(e));
                return false;
            }
            Err(_) => {
                log_close(&log, &CloseReason::HandshakeTimeout);
                return false;
            }
        };
    let OpenConnection { conn, items, overflowed, transfers_changed } =
        manager.connection_opened(hello, route);
    let write_ended = CancellationToken::new();
    let write_task = write_frames(manager.clone(), conn, items, write_half, write_ended.clone());
    let _write_task = AbortOnDropHandle::new(tokio::spawn(write_task));
    let read_loop = async {
        loop {
            let is_busy = manager.has_transfers(conn);
            let max_silence = if is_busy {
                Duration::from_micros(manager.config.timeouts.silence_timeout)
            } else {
                manager.config.idle_timeout
            };
            let silence = wait_for_silence(&manager, &last_activity, max_silence);
            tokio::select! {
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => manager.handle_frame(conn, frame)?,
                    Some(Err(e)) => return Err(CloseReason::Wire(e)),
                    None => return Err(CloseReason::Closed),
                },
                () = silence => return Err(if is_busy { CloseReason::Silence } else { CloseReason::Idle }),
                () = transfers_changed.notified() => {}
                () = overflowed.cancelled() => return Err(CloseReason::QueueOverflow),
                () = write_ended.cancelled() => return Err(CloseReason::Closed),
                () = manager.closing.cancelled() => return Err(CloseReason::Closed),
            }
        }
    };
    let result: Result<(), CloseReason> = read_loop.await;
    if let Err(reason) = result {
        log_close(&log, &reason);
        manager.connection_closed(conn, last_activity.micros(), reason.is_fault());
    }
    true
}

/// Logs why a connection was closed: faults of the peer as info, all else as debug.
fn log_close(log: &Logger, reason: &CloseReason) {
    if reason.is_fault() {
        info!(log, "closed a faulty connection"; "why" => %reason);
    } else {
        debug!(log, "connection closed"; "why" => %reason);
    }
}

async fn handshake<R: tokio::io::AsyncRead + Unpin>(
    manager: &SessionManager,
    frames: &mut FramedRead<R, Codec>,
    writer: &mut (impl AsyncWrite + Unpin),
) -> Result<Hello, WireError> {
    let (incarnation, window_bytes) = (manager.incarnation, manager.config.receiver.window_bytes);
    let hello =
        Frame::Hello(Hello { version: VERSION, features: FEATURE_GRANT_RECEIPTS, incarnation, window_bytes });
    let mut bytes = BytesMut::new();
    Codec::default().encode(&hello, &mut bytes)?;
    writer.write_all(&bytes).await?;
    match frames.next().await {
        Some(Ok(Frame::Hello(hello))) => Ok(hello),
        Some(Ok(_)) => Err(WireError::UnexpectedHello),
        Some(Err(e)) => Err(e),
        None => Err(WireError::Truncated),
    }
}

/// Waits until no byte has arrived for `max_silence`.
async fn wait_for_silence(manager: &SessionManager, last_activity: &LastActivity, max_silence: Duration) {
    loop {
        let deadline = manager.clock.instant(last_activity.micros()) + max_silence;
        if deadline <= Instant::now() {
            return;
        }
        sleep_until(deadline).await;
    }
}

/// Write task of a connection: writes queued items, and heartbeats while transfers are under way. Cancels
/// `write_ended` when it ends, to notify the reading task.
async fn write_frames(
    manager: Arc<SessionManager>,
    conn: ConnectionId,
    mut items: mpsc::UnboundedReceiver<WriteItem>,
    mut writer: impl AsyncWrite + Unpin,
    write_ended: CancellationToken,
) {
    let _cancel_on_drop = write_ended.drop_guard();
    let heartbeat_interval = Duration::from_micros(manager.config.timeouts.heartbeat_interval);
    let mut codec = Codec::default();
    let mut bytes = BytesMut::new();
    loop {
        let first = if manager.has_transfers(conn) {
            match timeout(heartbeat_interval, items.recv()).await {
                Ok(item) => item,
                Err(_) => Some(WriteItem::Frame(Frame::Beat)),
            }
        } else {
            items.recv().await
        };
        let mut next_item = first;
        while let Some(item) = next_item.take() {
            let result = match item {
                WriteItem::Frame(frame) => {
                    manager.frame_dequeued(conn, queued_size(&frame));
                    let Ok(()) = codec.encode(&frame, &mut bytes) else { return };
                    Ok(())
                }
                WriteItem::Chunk(token, index, data) => {
                    bytes.extend_from_slice(&chunk_header(token, index, data.len()));
                    send_all(&mut writer, &mut bytes.split().chain(data)).await
                }
            };
            if result.is_err() {
                return;
            }
            next_item = items.try_recv().ok();
        }
        if items.is_closed() && items.is_empty() && bytes.is_empty() {
            return;
        }
        if send_all(&mut writer, &mut bytes.split()).await.is_err() {
            return;
        }
    }
}

/// Writes all bytes; fails if a write makes no progress within the stall timeout.
async fn send_all(writer: &mut (impl AsyncWrite + Unpin), bytes: &mut impl Buf) -> std::io::Result<()> {
    while bytes.has_remaining() {
        match timeout(WRITE_STALL_TIMEOUT, writer.write_buf(bytes)).await {
            Ok(Ok(0)) => return Err(std::io::ErrorKind::WriteZero.into()),
            Ok(written) => written?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
    }
    Ok(())
}
