//! One connection, from its greeting to its end: a task that reads, and one that writes.

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

use super::ear::{Ear, Heard};
use super::hub::{weight, Hub, Item, Up};
use crate::receiver::Route;
use crate::sender::Fault;
use crate::wire::{chunk_header, Codec, Frame, Hello, WireError, VERSION};
use crate::Conn;

/// Room for what is read at first. Buffers are never made smaller than this, and a chunk keeps the one that
/// it was read to: larger, and small chunks would hold much more memory than they have bytes.
const READ: usize = 4 << 10;
/// A write that gets nowhere for so long ends the connection: the other end lives and takes nothing.
const STALL: Duration = Duration::from_secs(5);

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("{0}")]
    Fault(#[from] Fault),
    #[error("no greeting in time")]
    Greeting,
    #[error("it fell silent")]
    Silent,
    #[error("it asks for much and reads nothing")]
    Greedy,
    #[error("nothing more to do")]
    Idle,
    #[error("closed")]
    Closed,
}

impl End {
    /// Whether the other end did what it may not do.
    fn fault(&self) -> bool {
        match self {
            End::Wire(e) => !matches!(e, WireError::Io(_) | WireError::Torn),
            End::Fault(_) | End::Greeting | End::Greedy => true,
            End::Silent | End::Idle | End::Closed => false,
        }
    }
}

/// Serves a connection until it ends. True if greetings were exchanged.
pub(crate) async fn serve(hub: Arc<Hub>, stream: TcpStream, peer: SocketAddr, route: Option<Route>) -> bool {
    let log = hub.log.new(o!("peer" => peer));
    // Small frames are answers that others wait for.
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (ear, heard) = Ear::new(read, hub.clock);
    let mut frames = FramedRead::with_capacity(ear, Codec::default(), READ);
    let hello = match timeout(hub.config.handshake_timeout, greet(&hub, &mut frames, &mut write)).await {
        Ok(Ok(hello)) => hello,
        Ok(Err(e)) => {
            note(&log, &End::Wire(e));
            return false;
        }
        Err(_) => {
            note(&log, &End::Greeting);
            return false;
        }
    };
    let Up { conn, items, ended, changed } = hub.up(hello, route);
    let gone = CancellationToken::new();
    let writer = writing(hub.clone(), conn, items, write, gone.clone());
    let _writer = AbortOnDropHandle::new(tokio::spawn(writer));
    let reading = async {
        loop {
            let busy = hub.busy(conn);
            let most = if busy {
                Duration::from_micros(hub.config.timeouts.silence_timeout)
            } else {
                hub.config.idle_timeout
            };
            let silent = silence(&hub, &heard, most);
            tokio::select! {
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => hub.frame(conn, frame)?,
                    Some(Err(e)) => return Err(End::Wire(e)),
                    None => return Err(End::Closed),
                },
                () = silent => return Err(if busy { End::Silent } else { End::Idle }),
                () = changed.notified() => {}
                () = ended.cancelled() => return Err(End::Greedy),
                () = gone.cancelled() => return Err(End::Closed),
                () = hub.closing.cancelled() => return Err(End::Closed),
            }
        }
    };
    let end: Result<(), End> = reading.await;
    if let Err(end) = end {
        note(&log, &end);
        hub.down(conn, heard.at(), end.fault());
    }
    true
}

/// One line for what was wrong, none in the usual log for what was not.
fn note(log: &Logger, end: &End) {
    if end.fault() {
        info!(log, "a connection was ended"; "why" => %end);
    } else {
        debug!(log, "a connection has ended"; "why" => %end);
    }
}

async fn greet<R: tokio::io::AsyncRead + Unpin>(
    hub: &Hub,
    frames: &mut FramedRead<R, Codec>,
    write: &mut (impl AsyncWrite + Unpin),
) -> Result<Hello, WireError> {
    let (incarnation, window) = (hub.process, hub.config.receiver.window_bytes);
    let hello = Frame::Hello(Hello { version: VERSION, features: 0, incarnation, window });
    let mut bytes = BytesMut::new();
    Codec::default().encode(&hello, &mut bytes)?;
    write.write_all(&bytes).await?;
    match frames.next().await {
        Some(Ok(Frame::Hello(hello))) => Ok(hello),
        Some(Ok(_)) => Err(WireError::Greeting),
        Some(Err(e)) => Err(e),
        None => Err(WireError::Torn),
    }
}

/// Resolves once no byte has come for so long.
async fn silence(hub: &Hub, heard: &Heard, most: Duration) {
    loop {
        let end = hub.clock.at(heard.at()) + most;
        if end <= Instant::now() {
            return;
        }
        sleep_until(end).await;
    }
}

/// Writes what there is to say; `gone` tells the reader that it can't.
async fn writing(
    hub: Arc<Hub>,
    conn: Conn,
    mut items: mpsc::UnboundedReceiver<Item>,
    mut write: impl AsyncWrite + Unpin,
    gone: CancellationToken,
) {
    let _gone = gone.drop_guard();
    let beat = Duration::from_micros(hub.config.timeouts.heartbeat_interval);
    let mut codec = Codec::default();
    let mut bytes = BytesMut::new();
    loop {
        let first = if hub.busy(conn) {
            match timeout(beat, items.recv()).await {
                Ok(item) => item,
                Err(_) => Some(Item::Frame(Frame::Beat)),
            }
        } else {
            items.recv().await
        };
        let mut next = first;
        while let Some(item) = next.take() {
            let written = match item {
                Item::Frame(frame) => {
                    hub.written(conn, weight(&frame));
                    let Ok(()) = codec.encode(&frame, &mut bytes) else { return };
                    Ok(())
                }
                Item::Chunk(token, index, data) => {
                    bytes.extend_from_slice(&chunk_header(token, index, data.len()));
                    send(&mut write, &mut bytes.split().chain(data)).await
                }
            };
            if written.is_err() {
                return;
            }
            next = items.try_recv().ok();
        }
        if items.is_closed() && items.is_empty() && bytes.is_empty() {
            return;
        }
        if send(&mut write, &mut bytes.split()).await.is_err() {
            return;
        }
    }
}

/// Writes all of it, as long as it gets somewhere.
async fn send(write: &mut (impl AsyncWrite + Unpin), bytes: &mut impl Buf) -> std::io::Result<()> {
    while bytes.has_remaining() {
        match timeout(STALL, write.write_buf(bytes)).await {
            Ok(Ok(0)) => return Err(std::io::ErrorKind::WriteZero.into()),
            Ok(written) => written?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
    }
    Ok(())
}
