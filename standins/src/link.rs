//! A stand-in for the link between two racks: a proxy that carries connections to one address, at a rate
//! that they share, late, with bits flipped, stalled or cut, by a script that counts bytes.

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

/// Bytes that are carried at a time.
const PIECE: usize = 16 << 10;
/// A line that was kept waiting for up to this long catches up.
const MADE_UP: Duration = Duration::from_millis(5);

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From whoever connected.
    Upstream,
    /// Back to it.
    Downstream,
}

/// What happens at a byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One bit of it is flipped.
    FlipBit,
    /// All connections are reset before it.
    Reset,
    /// Nothing more is carried, and nothing is closed, from before it on.
    Stall,
}

/// A fault at a byte, counted over all connections of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptedFault {
    /// In which direction.
    pub direction: Direction,
    /// Before or at which byte.
    pub offset: u64,
    /// What happens.
    pub fault: Fault,
}

#[derive(Debug, Default)]
struct Script {
    events: Vec<ScriptedFault>,
    carried: [u64; 2],
}

impl Script {
    /// How many of so many bytes may be carried, with what happens behind them.
    fn next(&mut self, direction: Direction, bytes: &mut [u8]) -> (usize, Option<Fault>) {
        let from = self.carried[direction as usize];
        let due = |e: &ScriptedFault| e.direction == direction && e.offset < from + bytes.len() as u64;
        let first = self.events.iter().enumerate().filter(|(_, e)| due(e)).min_by_key(|(_, e)| e.offset);
        let Some((index, event)) = first.map(|(i, e)| (i, *e)) else {
            self.carried[direction as usize] += bytes.len() as u64;
            return (bytes.len(), None);
        };
        self.events.swap_remove(index);
        let mut length = event.offset.saturating_sub(from) as usize;
        if event.fault == Fault::FlipBit {
            bytes[length] ^= 1 << (event.offset % 8);
            length += 1;
        }
        self.carried[direction as usize] += length as u64;
        (length, Some(event.fault))
    }
}

struct Shared {
    to: Mutex<SocketAddr>,
    script: Mutex<Script>,
    cut: Mutex<CancellationToken>,
    /// Nothing is carried.
    stalled: watch::Sender<bool>,
    /// No connection is taken.
    dark: AtomicBool,
    /// Bytes a second, 0: as many as come.
    rate: AtomicU64,
    /// When the line is free again.
    free: Mutex<Option<Instant>>,
    delay: Mutex<Duration>,
}

/// The link. Dropping it ends it.
pub struct Link {
    /// Where to connect.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _accepting: AbortOnDropHandle<()>,
}

impl Link {
    /// A link to an address, without faults.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((to.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            to: Mutex::new(to),
            script: Mutex::default(),
            cut: Mutex::default(),
            stalled: watch::Sender::new(false),
            dark: AtomicBool::new(false),
            rate: AtomicU64::new(0),
            free: Mutex::default(),
            delay: Mutex::default(),
        });
        let accepting = accept(listener, shared.clone());
        Ok(Link { address, shared, _accepting: AbortOnDropHandle::new(tokio::spawn(accepting)) })
    }

    /// Carries at most so many bytes a second, each way for itself being no rate of its own: all share one.
    pub fn set_rate(&self, bytes_per_second: u64) {
        self.shared.rate.store(bytes_per_second, Ordering::Relaxed);
    }

    /// Everything comes this much later.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.shared.delay) = delay;
    }

    /// Adds faults to the script.
    pub fn add_faults(&self, events: &[ScriptedFault]) {
        lock(&self.shared.script).events.extend(events);
    }

    /// Bytes carried so far, up and down.
    pub fn forwarded_bytes(&self) -> (u64, u64) {
        let [up, down] = lock(&self.shared.script).carried;
        (up, down)
    }

    /// Where it leads to.
    pub fn target(&self) -> SocketAddr {
        *lock(&self.shared.to)
    }

    /// New connections lead elsewhere.
    pub fn set_target(&self, to: SocketAddr) {
        *lock(&self.shared.to) = to;
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.shared.cut();
    }

    /// Carries nothing, or goes on.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.stalled.send_replace(stalled);
    }

    /// Takes no connections, or takes them again.
    pub fn set_unreachable(&self, unreachable: bool) {
        self.shared.dark.store(unreachable, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Shared {
    fn cut(&self) {
        std::mem::take(&mut *lock(&self.cut)).cancel();
    }

    /// When the last of so many bytes is through.
    fn through(&self, bytes: usize) -> Option<Instant> {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return None;
        }
        let mut free = lock(&self.free);
        // Timers are late by up to some milliseconds; what they lose is made up for.
        let now = Instant::now();
        let begin = free.map_or(now, |f| f.max(now.checked_sub(MADE_UP).unwrap_or(now)));
        let end = begin + Duration::from_nanos(bytes as u64 * 1_000_000_000 / rate);
        *free = Some(end);
        Some(end)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((near, _)) = listener.accept().await {
        if shared.dark.load(Ordering::Relaxed) {
            continue;
        }
        let (shared, cut) = (shared.clone(), lock(&shared.cut).clone());
        tokio::spawn(async move {
            let both = async {
                let far = {
                    let to = *lock(&shared.to);
                    TcpStream::connect(to).await?
                };
                // What is cut is reset: nothing that is still under way arrives.
                #[allow(deprecated)]
                for stream in [&near, &far] {
                    stream.set_nodelay(true)?;
                    stream.set_linger(Some(Duration::ZERO))?;
                }
                let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
                let up = carry(&shared, Direction::Upstream, near_read, far_write);
                let down = carry(&shared, Direction::Downstream, far_read, near_write);
                tokio::select! {
                    r = up => r,
                    r = down => r,
                }
            };
            tokio::select! {
                () = cut.cancelled() => {}
                _ = both => {}
            }
        });
    }
}

/// One direction of one connection: a task that reads and waits its turn, one that writes after the delay.
async fn carry(
    shared: &Shared,
    direction: Direction,
    mut read: impl tokio::io::AsyncRead + Unpin,
    mut write: impl tokio::io::AsyncWrite + Unpin,
) -> io::Result<()> {
    let (tell, mut late) = mpsc::channel::<(Instant, Vec<u8>)>(64);
    let reading = async move {
        let mut stalled = shared.stalled.subscribe();
        let mut piece = vec![0; PIECE];
        loop {
            let mut length = read.read(&mut piece).await?;
            if length == 0 {
                return io::Result::Ok(());
            }
            let mut rest = &mut piece[..length];
            while !rest.is_empty() {
                let _ = stalled.wait_for(|s| !s).await;
                let fault;
                (length, fault) = lock(&shared.script).next(direction, rest);
                if let Some(end) = shared.through(length) {
                    sleep_until(end).await;
                }
                let at = Instant::now() + *lock(&shared.delay);
                if tell.send((at, rest[..length].to_vec())).await.is_err() {
                    return Ok(());
                }
                match fault {
                    Some(Fault::Reset) => {
                        // What went before it arrives.
                        tokio::task::yield_now().await;
                        while tell.capacity() < tell.max_capacity() {
                            tokio::task::yield_now().await;
                        }
                        shared.cut();
                        return std::future::pending().await;
                    }
                    Some(Fault::Stall) => {
                        shared.stalled.send_replace(true);
                    }
                    Some(Fault::FlipBit) | None => {}
                }
                rest = &mut rest[length..];
            }
        }
    };
    let writing = async move {
        while let Some((at, bytes)) = late.recv().await {
            sleep_until(at).await;
            write.write_all(&bytes).await?;
        }
        io::Result::Ok(())
    };
    tokio::try_join!(reading, writing).map(|_| ())
}
