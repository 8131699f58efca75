//! A TCP proxy that models the link between two racks. Its connections lead to one address and share a rate
//! limit and a delay; a script of faults flips bits, resets connections or stalls at given byte offsets.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// The most bytes that are read at a time.
const BUFFER_BYTES: usize = 16 << 10;
/// Idle time for which the rate limit compensates: timers fire up to some milliseconds late.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    Upstream,
    /// From the target to the connecting side.
    Downstream,
}

/// What happens at a byte offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Flips one bit of the byte.
    FlipBit,
    /// Resets all connections before the byte is forwarded.
    Reset,
    /// Stalls the link before the byte is forwarded; connections stay open.
    Stall,
}

/// A fault at a byte offset, counted over all connections of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptedFault {
    /// The direction whose bytes are counted.
    pub direction: Direction,
    /// How many bytes are forwarded before the fault.
    pub offset: u64,
    /// The kind of fault.
    pub fault: Fault,
}

#[derive(Debug, Default)]
struct FaultScript {
    faults: Vec<ScriptedFault>,
    forwarded: [u64; 2],
}

impl FaultScript {
    /// Counts bytes as forwarded up to the next fault, and flips the bit if it is a flip. Returns how many of
    /// `bytes` to forward, and the fault.
    fn advance(&mut self, direction: Direction, bytes: &mut [u8]) -> (usize, Option<Fault>) {
        let start = self.forwarded[direction as usize];
        let is_due =
            |fault: &ScriptedFault| fault.direction == direction && fault.offset < start + bytes.len() as u64;
        let first = self
            .faults
            .iter()
            .enumerate()
            .filter(|(_, fault)| is_due(fault))
            .min_by_key(|(_, fault)| fault.offset);
        let Some((index, next_fault)) = first.map(|(i, fault)| (i, *fault)) else {
            self.forwarded[direction as usize] += bytes.len() as u64;
            return (bytes.len(), None);
        };
        self.faults.swap_remove(index);
        let mut length = next_fault.offset.saturating_sub(start) as usize;
        if next_fault.fault == Fault::FlipBit {
            bytes[length] ^= 1 << (next_fault.offset % 8);
            length += 1;
        }
        self.forwarded[direction as usize] += length as u64;
        (length, Some(next_fault.fault))
    }
}

struct Shared {
    target: Mutex<SocketAddr>,
    script: Mutex<FaultScript>,
    /// Resets the open connections when cancelled; each reset leaves a new token.
    reset: Mutex<CancellationToken>,
    /// While true, nothing is forwarded.
    stalled: watch::Sender<bool>,
    /// While true, each new connection is closed at once.
    is_unreachable: AtomicBool,
    /// The rate that all connections share; 0 is unlimited.
    rate_bytes_per_second: AtomicU64,
    /// When all bytes that have reserved the line are through.
    line_free_at: Mutex<Option<Instant>>,
    delay: Mutex<Duration>,
}

/// A running proxy. Dropping it stops accepting connections.
pub struct Link {
    /// Where the proxy listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _accepting: AbortOnDropHandle<()>,
}

impl Link {
    /// Starts a link to an address, without faults.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            script: Mutex::default(),
            reset: Mutex::default(),
            stalled: watch::Sender::new(false),
            is_unreachable: AtomicBool::new(false),
            rate_bytes_per_second: AtomicU64::new(0),
            line_free_at: Mutex::default(),
            delay: Mutex::default(),
        });
        let accepting = accept_connections(listener, shared.clone());
        Ok(Link { address, shared, _accepting: AbortOnDropHandle::new(tokio::spawn(accepting)) })
    }

    /// Limits the rate, which all connections share in both directions together; 0 is unlimited.
    pub fn set_rate(&self, bytes_per_second: u64) {
        self.shared.rate_bytes_per_second.store(bytes_per_second, Ordering::Relaxed);
    }

    /// Delays everything that is forwarded.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.shared.delay) = delay;
    }

    /// Adds faults to the script.
    pub fn add_faults(&self, faults: &[ScriptedFault]) {
        lock(&self.shared.script).faults.extend(faults);
    }

    /// Returns the bytes forwarded so far, upstream and downstream.
    pub fn forwarded_bytes(&self) -> (u64, u64) {
        let [up, down] = lock(&self.shared.script).forwarded;
        (up, down)
    }

    /// The address to which new connections lead.
    pub fn target(&self) -> SocketAddr {
        *lock(&self.shared.target)
    }

    /// Makes new connections lead to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.shared.reset_connections();
    }

    /// Stalls the link, or resumes forwarding; connections stay open.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.stalled.send_replace(is_stalled);
    }

    /// Closes new connections at once, or forwards them again.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.shared.is_unreachable.store(is_unreachable, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Shared {
    fn reset_connections(&self) {
        std::mem::take(&mut *lock(&self.reset)).cancel();
    }

    /// Reserves the line for bytes. Returns when the last of them is through, or `None` without a rate limit.
    fn reserve_line(&self, byte_count: usize) -> Option<Instant> {
        let rate = self.rate_bytes_per_second.load(Ordering::Relaxed);
        if rate == 0 {
            return None;
        }
        let mut line_free_at = lock(&self.line_free_at);
        // A late timer leaves the line idle; up to `MAX_CATCH_UP` of that is made up for.
        let now = Instant::now();
        let begin =
            line_free_at.map_or(now, |free_at| free_at.max(now.checked_sub(MAX_CATCH_UP).unwrap_or(now)));
        let end = begin + Duration::from_nanos(byte_count as u64 * 1_000_000_000 / rate);
        *line_free_at = Some(end);
        Some(end)
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        if shared.is_unreachable.load(Ordering::Relaxed) {
            continue;
        }
        let (shared, reset) = (shared.clone(), lock(&shared.reset).clone());
        tokio::spawn(async move {
            let forwarding = async {
                let server = {
                    let target = *lock(&shared.target);
                    TcpStream::connect(target).await?
                };
                // With a linger of zero, closing resets the connection: data in flight does not arrive.
                #[allow(deprecated)]
                for stream in [&client, &server] {
                    stream.set_nodelay(true)?;
                    stream.set_linger(Some(Duration::ZERO))?;
                }
                let ((client_read, client_write), (server_read, server_write)) =
                    (client.into_split(), server.into_split());
                let upstream = forward(&shared, Direction::Upstream, client_read, server_write);
                let downstream = forward(&shared, Direction::Downstream, server_read, client_write);
                tokio::select! {
                    r = upstream => r,
                    r = downstream => r,
                }
            };
            tokio::select! {
                () = reset.cancelled() => {}
                _ = forwarding => {}
            }
        });
    }
}

/// Forwards one direction of a connection: one half reads and waits for the rate limit, the other writes
/// after the delay.
async fn forward(
    shared: &Shared,
    direction: Direction,
    mut read: impl tokio::io::AsyncRead + Unpin,
    mut write: impl tokio::io::AsyncWrite + Unpin,
) -> io::Result<()> {
    let (chunk_sender, mut chunk_receiver) = mpsc::channel::<(Instant, Vec<u8>)>(64);
    let reading = async move {
        let mut stalled = shared.stalled.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let mut length = read.read(&mut buffer).await?;
            if length == 0 {
                return io::Result::Ok(());
            }
            let mut remaining = &mut buffer[..length];
            while !remaining.is_empty() {
                let _ = stalled.wait_for(|s| !s).await;
                let fault;
                (length, fault) = lock(&shared.script).advance(direction, remaining);
                if let Some(end) = shared.reserve_line(length) {
                    sleep_until(end).await;
                }
                let deliver_at = Instant::now() + *lock(&shared.delay);
                if chunk_sender.send((deliver_at, remaining[..length].to_vec())).await.is_err() {
                    return Ok(());
                }
                match fault {
                    Some(Fault::Reset) => {
                        // The bytes before the fault are written first.
                        tokio::task::yield_now().await;
                        while chunk_sender.capacity() < chunk_sender.max_capacity() {
                            tokio::task::yield_now().await;
                        }
                        shared.reset_connections();
                        return std::future::pending().await;
                    }
                    Some(Fault::Stall) => {
                        shared.stalled.send_replace(true);
                    }
                    Some(Fault::FlipBit) | None => {}
                }
                remaining = &mut remaining[length..];
            }
        }
    };
    let writing = async move {
        while let Some((deliver_at, bytes)) = chunk_receiver.recv().await {
            sleep_until(deliver_at).await;
            write.write_all(&bytes).await?;
        }
        io::Result::Ok(())
    };
    tokio::try_join!(reading, writing).map(|_| ())
}
