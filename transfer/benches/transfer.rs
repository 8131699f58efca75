//! Benchmarks behind the figures in the documentation of transfers. `cargo bench -p frosttrail-transfer`
//! takes about two minutes. Each end has its own thread and runtime, like two servers.

use std::alloc::System;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cap::Cap;
use frosttrail_standins::link::{Direction, Fault, Link, ScriptedFault};
use frosttrail_transfer::proof::Proof;
use frosttrail_transfer::service::{Config, Node, ReceivedCache};
use frosttrail_transfer::wire::RequestId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

#[global_allocator]
static ALLOCATED: Cap<System> = Cap::new(System, usize::MAX);

const MIB: usize = 1 << 20;

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn id(name: impl std::fmt::Display) -> RequestId {
    RequestId::new(&name.to_string()).unwrap()
}

fn content(seed: u64, length: usize) -> Bytes {
    let mut bytes = vec![0; length];
    SmallRng::seed_from_u64(seed).fill(&mut bytes[..]);
    bytes.into()
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

fn per_second(bytes: usize, time: Duration) -> f64 {
    bytes as f64 / MIB as f64 / time.as_secs_f64()
}

/// Runs one end on its own thread until the returned channel sender is dropped.
fn on_own_thread<F>(
    run: impl FnOnce() -> F + Send + 'static,
) -> (SocketAddr, tokio::sync::oneshot::Sender<()>)
where
    F: std::future::Future<Output = (SocketAddr, Box<dyn std::any::Any>)>,
{
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    let (end, ended) = tokio::sync::oneshot::channel::<()>();
    std::thread::spawn(move || {
        runtime().block_on(async {
            let (at, _held) = run().await;
            address_sender.send(at).unwrap();
            let _ = ended.await;
        });
    });
    (address_receiver.recv().unwrap(), end)
}

async fn start_sender(
    config: Config,
    caches: Vec<(RequestId, Bytes)>,
) -> (SocketAddr, Box<dyn std::any::Any>) {
    let node = Node::new(config, 7, log());
    let at = node.listen(any_address()).await.unwrap();
    for (id, cache) in caches {
        node.begin_prefill(id).unwrap().store(cache).await.unwrap();
    }
    (at, Box::new(node))
}

/// Extends the time limits: a measurement stores all KV caches first, which takes longer than they are held
/// by default.
fn with_long_timeouts(mut config: Config) -> Config {
    config.timeouts.hold_ttl = 60_000_000;
    config.timeouts.transfer_timeout = 600_000_000;
    config
}

/// Starts a link with a rate limit on its own thread.
fn start_slow_link(to: SocketAddr, rate: usize) -> (SocketAddr, tokio::sync::oneshot::Sender<()>) {
    on_own_thread(move || async move {
        let link = Link::start(to).await.unwrap();
        link.set_rate(rate as u64);
        (link.address, Box::new(link) as Box<dyn std::any::Any>)
    })
}

fn goodput() {
    let cache = content(1, 64 * MIB);
    let mut plain_rates = Vec::new();
    let mut transfer_rates = Vec::new();
    for _ in 0..9 {
        let copy = cache.clone();
        let (at, _end) = on_own_thread(move || async move {
            let listener = TcpListener::bind(any_address()).await.unwrap();
            let at = listener.local_addr().unwrap();
            let writing = tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                stream.write_all(&copy).await.unwrap();
            });
            (at, Box::new(writing) as Box<dyn std::any::Any>)
        });
        plain_rates.push(runtime().block_on(async {
            let mut stream = TcpStream::connect(at).await.unwrap();
            let start = Instant::now();
            // Like a receiver: in pieces that are kept.
            let (mut got, mut kept) = (0, Vec::new());
            while got < 64 * MIB {
                let mut piece = bytes::BytesMut::with_capacity(256 << 10);
                while piece.len() < 256 << 10 && stream.read_buf(&mut piece).await.unwrap() > 0 {}
                got += piece.len();
                kept.push(piece.freeze());
            }
            per_second(64 * MIB, start.elapsed())
        }));
        let config = with_long_timeouts(Config::default());
        let caches = vec![(id("warm"), content(2, MIB)), (id("r"), cache.clone())];
        let (at, _end) = on_own_thread(move || start_sender(config, caches));
        transfer_rates.push(runtime().block_on(async {
            let node = Node::new(config, 8, log());
            // Connected beforehand, like servers in operation.
            drop(node.fetch(&id("warm"), &[at], None).await.unwrap());
            let start = Instant::now();
            let received = node.fetch(&id("r"), &[at], None).await.unwrap();
            let rate = per_second(64 * MIB, start.elapsed());
            assert!(received.chunks().concat() == cache[..]);
            rate
        }));
    }
    let ratios = plain_rates.iter().zip(&transfer_rates).map(|(p, o)| o / p).collect();
    let (plain, ours) = (median(plain_rates), median(transfer_rates));
    println!("goodput of 64 MiB: {ours:.0} MiB/s, plain copy {plain:.0} MiB/s, ratio {:.2}", median(ratios));
}

fn checksums() {
    let cache = content(1, 64 * MIB);
    let time = |f: &dyn Fn()| {
        let run = || {
            let start = Instant::now();
            f();
            per_second(64 * MIB, start.elapsed())
        };
        median((0..9).map(|_| run()).collect())
    };
    let crc = time(&|| {
        cache.chunks(256 << 10).for_each(|c| {
            std::hint::black_box(crc32c::crc32c(c));
        });
    });
    println!("checksums by themselves, one core, MiB/s: CRC32C {crc:.0}");
    for chunk in [4 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20] {
        let rate = time(&|| drop(std::hint::black_box(Proof::compute(&cache, chunk).unwrap())));
        println!("  BLAKE3 tree, chunks of {} KiB: {rate:.0}", chunk >> 10);
    }
}

fn slowed() {
    for rate in [10 * MIB, 100 * MIB] {
        let cache = content(1, rate * 2);
        let config = with_long_timeouts(Config::default());
        let caches = vec![(id("r"), cache.clone())];
        let (at, _end) = on_own_thread(move || start_sender(config, caches));
        let (link, _link) = start_slow_link(at, rate);
        runtime().block_on(async {
            let node = Node::new(config, 8, log());
            let start = Instant::now();
            drop(node.fetch(&id("r"), &[link], None).await.unwrap());
            let got = per_second(cache.len(), start.elapsed());
            println!(
                "over {} MiB/s: {got:.1} MiB/s, share {:.3}",
                rate / MIB,
                got * MIB as f64 / rate as f64
            );
        });
    }
}

fn fairness() {
    const TRANSFERS: usize = 256;
    let rate = 50 * MIB;
    let config = Config { chunk_bytes: 16 << 10, ..with_long_timeouts(Config::default()) };
    let caches = (0..TRANSFERS).map(|n| (id(n), content(n as u64, MIB / 2))).collect();
    let (at, _end) = on_own_thread(move || start_sender(config, caches));
    let (link, _link) = start_slow_link(at, rate);
    runtime().block_on(async {
        let node = Node::new(config, 8, log());
        let start = Instant::now();
        // Sixteen have a deadline of 400 ms; together they need 160 ms of the link.
        let from = [link];
        let names: Vec<RequestId> = (0..TRANSFERS).map(id).collect();
        let transfers = names.iter().enumerate().map(|(n, name)| {
            let (node, from) = (&node, &from);
            async move {
                let deadline = (n % 16 == 5).then_some(Duration::from_millis(400));
                let received: ReceivedCache = node.fetch(name, from, deadline).await.unwrap();
                (deadline.is_some(), start.elapsed(), received)
            }
        });
        let half = async {
            sleep(Duration::from_secs_f64(TRANSFERS as f64 * 0.25 / 50.0)).await;
            // Transfers without a deadline; one that has ended has received its whole KV cache.
            let rest = node.progress();
            let share = |n: usize| {
                let under_way = rest.iter().find(|(name, ..)| *name == id(n));
                under_way.map_or(MIB as f64 / 2.0, |(_, here, _)| *here as f64)
            };
            let shares: Vec<f64> = (0..TRANSFERS).filter(|n| n % 16 != 5).map(share).collect();
            let sum = shares.iter().sum::<f64>();
            let jain = sum * sum / (shares.len() as f64 * shares.iter().map(|s| s * s).sum::<f64>());
            println!(
                "256 moves, at half of the time: {} without a time, Jain's index {jain:.4}",
                shares.len()
            );
        };
        let (ends, ()) = tokio::join!(futures_util::future::join_all(transfers), half);
        let with_deadline = ends.iter().filter(|(has_deadline, ..)| *has_deadline);
        let last = with_deadline.clone().map(|(_, at, _)| *at).max().unwrap();
        let all = ends.iter().map(|(_, at, _)| *at).max().unwrap();
        println!(
            "  16 due within 400 ms: the last after {last:.0?}; all after {all:.2?}, share of the link {:.3}",
            (TRANSFERS * MIB / 2) as f64 / all.as_secs_f64() / rate as f64
        );
    });
}

fn cut() {
    runtime().block_on(async {
        let config = with_long_timeouts(Config::default());
        let cache = content(1, 64 * MIB);
        let mut again = Vec::new();
        for _ in 0..5 {
            let sender = Node::new(config, 7, log());
            let link = Link::start(sender.listen(any_address()).await.unwrap()).await.unwrap();
            link.add_faults(&[ScriptedFault {
                direction: Direction::Downstream,
                offset: 32 * MIB as u64,
                fault: Fault::Reset,
            }]);
            sender.begin_prefill(id("r")).unwrap().store(cache.clone()).await.unwrap();
            let node = Node::new(config, 8, log());
            drop(node.fetch(&id("r"), &[link.address], None).await.unwrap());
            again.push((sender.status().total.bytes_sent - cache.len() as u64) as f64 / MIB as f64);
        }
        let window = f64::from(config.receiver.window_bytes) / MIB as f64;
        let most = again.iter().copied().fold(0.0, f64::max);
        println!(
            "cut at half of 64 MiB: {:.2} MiB sent again (most {most:.2}); window {window}, starting over 32",
            median(again)
        );
    });
}

fn freed() {
    runtime().block_on(async {
        let config = Config { chunk_bytes: 16 << 10, ..Config::default() };
        let mut times = Vec::new();
        for batch in 0..20u64 {
            let runs = (0..50).map(|n| time_to_free_after_fault(config, batch * 50 + n));
            times.extend(futures_util::future::join_all(runs).await);
        }
        times.sort();
        println!(
            "1,000 faults, both ends free: median {:.3?}, 99% {:.3?}, most {:.3?}",
            times[times.len() / 2],
            times[times.len() * 99 / 100],
            times[times.len() - 1]
        );
    });
}

/// Time until both ends are free after one seeded, permanent fault during a transfer.
async fn time_to_free_after_fault(config: Config, seed: u64) -> Duration {
    let mut rng = SmallRng::seed_from_u64(seed);
    let sender = Node::new(config, 1, log());
    let link = Link::start(sender.listen(any_address()).await.unwrap()).await.unwrap();
    link.set_rate(8 * MIB as u64);
    sender.begin_prefill(id("r")).unwrap().store(content(seed, 4 * MIB)).await.unwrap();
    let node = Node::new(config, 2, log());
    let (name, from) = (id("r"), [link.address]);
    let fetch = node.fetch(&name, &from, None);
    tokio::pin!(fetch);
    let after = Duration::from_millis(rng.random_range(0..400));
    tokio::select! {
        _ = &mut fetch => {}
        () = sleep(after) => {}
    }
    let start = Instant::now();
    let kind = rng.random_range(0..6);
    match kind {
        0 => {
            link.set_unreachable(true);
            link.reset_connections();
        }
        1 => {
            link.set_unreachable(true);
            link.set_stalled(true);
        }
        2 => sender.release(&name),
        3 => node.release(&name),
        4 => sender.drain(Duration::from_millis(rng.random_range(0..900))),
        _ => {}
    }
    if kind < 5 {
        let _ = fetch.await;
    } else {
        // The client has gone: the sender learns it only from the end of the fetch.
        tokio::select! {
            biased;
            _ = &mut fetch => {}
            () = std::future::ready(()) => {}
        }
        node.release(&name);
    }
    sender.wait_until_idle().await;
    node.wait_until_idle().await;
    start.elapsed()
}

fn memory() {
    const TRANSFERS: usize = 1_000;
    runtime().block_on(async {
        let config = with_long_timeouts(Config::default());
        let names: Vec<RequestId> = (0..TRANSFERS).map(id).collect();
        let sender = Node::new(config, 1, log());
        let link = Link::start(sender.listen(any_address()).await.unwrap()).await.unwrap();
        let before = ALLOCATED.allocated();
        for name in &names {
            sender
                .begin_prefill(name.clone())
                .unwrap()
                .store(Bytes::from_static(&[7; 1 << 20]))
                .await
                .unwrap();
        }
        let held = ALLOCATED.allocated();
        println!(
            "memory: a state of 4 chunks that waits, its bytes not counted: {} B",
            (held - before) / TRANSFERS
        );
        let node = Node::new(config, 2, log());
        // Connect first, then stall the link and start all transfers.
        drop(node.fetch(&id("none"), &[link.address], None).await);
        let base = ALLOCATED.allocated();
        link.set_stalled(true);
        let from = [link.address];
        let transfers: Vec<_> = names.iter().map(|n| node.fetch(n, &from, None)).collect();
        // Measured while the transfers exist.
        let count = async {
            sleep(Duration::from_millis(100)).await;
            ALLOCATED.allocated() - base
        };
        let idle = tokio::select! {
            _ = futures_util::future::join_all(transfers) => 0,
            count = count => count,
        };
        println!("  a move that waits for its holder's word, at the taker: {} B", idle / TRANSFERS);
    });
}

/// Transfers that are half done: all allocated memory besides the received chunks.
fn busy_memory() {
    const TRANSFERS: usize = 100;
    runtime().block_on(async {
        let config = Config { chunk_bytes: 16 << 10, ..with_long_timeouts(Config::default()) };
        let names: Vec<RequestId> = (0..TRANSFERS).map(id).collect();
        let sender = Node::new(config, 1, log());
        let link = Link::start(sender.listen(any_address()).await.unwrap()).await.unwrap();
        for name in &names {
            sender
                .begin_prefill(name.clone())
                .unwrap()
                .store(Bytes::from_static(&[7; 1 << 20]))
                .await
                .unwrap();
        }
        let node = Node::new(config, 2, log());
        drop(node.fetch(&id("none"), &[link.address], None).await);
        let base = ALLOCATED.allocated();
        link.add_faults(&[ScriptedFault {
            direction: Direction::Downstream,
            offset: 50 * MIB as u64,
            fault: Fault::Stall,
        }]);
        let from = [link.address];
        let transfers: Vec<_> = names.iter().map(|n| node.fetch(n, &from, None)).collect();
        let count = async {
            sleep(Duration::from_millis(300)).await;
            let here: u64 = node.progress().iter().map(|(_, here, _)| here).sum();
            (here, (ALLOCATED.allocated() - base) as i64 - here as i64)
        };
        let (here, more) = tokio::select! {
            _ = futures_util::future::join_all(transfers) => (0, 0),
            count = count => count,
        };
        println!(
            "  a move half done, 64 chunks, both ends, chunks not counted: {} B ({} MiB are here)",
            more / TRANSFERS as i64,
            here >> 20
        );
    });
}

fn main() {
    println!("{} cores", std::thread::available_parallelism().map_or(0, usize::from));
    let parts: [(&str, fn()); 8] = [
        ("checksums", checksums),
        ("goodput", goodput),
        ("slowed", slowed),
        ("fairness", fairness),
        ("cut", cut),
        ("freed", freed),
        ("memory", memory),
        ("busy", busy_memory),
    ];
    // `-- NAME` runs only that benchmark.
    let wanted: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    for (_, part) in parts.iter().filter(|(name, _)| wanted.is_empty() || wanted.iter().any(|w| w == name)) {
        part();
    }
}
