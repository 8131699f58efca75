//! What the page on transfer quotes: `cargo bench -p frosttrail-transfer`, some two minutes. Each end has a
//! thread and a runtime of its own, as two servers have.

use std::alloc::System;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cap::Cap;
use frosttrail_standins::link::{Event, Fault, Link, Way};
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

const MB: usize = 1 << 20;

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

fn any() -> SocketAddr {
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
    bytes as f64 / MB as f64 / time.as_secs_f64()
}

/// Runs the holder's end on a thread of its own, until the returned sender is dropped.
fn beside<F>(run: impl FnOnce() -> F + Send + 'static) -> (SocketAddr, tokio::sync::oneshot::Sender<()>)
where
    F: std::future::Future<Output = (SocketAddr, Box<dyn std::any::Any>)>,
{
    let (tell, told) = std::sync::mpsc::channel();
    let (end, ended) = tokio::sync::oneshot::channel::<()>();
    std::thread::spawn(move || {
        runtime().block_on(async {
            let (at, _held) = run().await;
            tell.send(at).unwrap();
            let _ = ended.await;
        });
    });
    (told.recv().unwrap(), end)
}

async fn holder(config: Config, states: Vec<(RequestId, Bytes)>) -> (SocketAddr, Box<dyn std::any::Any>) {
    let node = Node::new(config, 7, log());
    let at = node.listen(any()).await.unwrap();
    for (id, state) in states {
        node.begin_prefill(id).unwrap().store(state).await.unwrap();
    }
    (at, Box::new(node))
}

/// States that wait here for longer than a second, as the measurement wants all of them to be there first.
fn patient(mut config: Config) -> Config {
    config.timeouts.hold_ttl = 60_000_000;
    config.timeouts.transfer_timeout = 600_000_000;
    config
}

/// A link of a rate, on a thread of its own.
fn slow_link(to: SocketAddr, rate: usize) -> (SocketAddr, tokio::sync::oneshot::Sender<()>) {
    beside(move || async move {
        let link = Link::start(to).await.unwrap();
        link.rate(rate as u64);
        (link.address, Box::new(link) as Box<dyn std::any::Any>)
    })
}

fn goodput() {
    let state = content(1, 64 * MB);
    let mut plain = Vec::new();
    let mut ours = Vec::new();
    for _ in 0..9 {
        let copy = state.clone();
        let (at, _end) = beside(move || async move {
            let listener = TcpListener::bind(any()).await.unwrap();
            let at = listener.local_addr().unwrap();
            let writing = tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                stream.write_all(&copy).await.unwrap();
            });
            (at, Box::new(writing) as Box<dyn std::any::Any>)
        });
        plain.push(runtime().block_on(async {
            let mut stream = TcpStream::connect(at).await.unwrap();
            let begin = Instant::now();
            // As a taker would have it: in pieces that are kept.
            let (mut got, mut kept) = (0, Vec::new());
            while got < 64 * MB {
                let mut piece = bytes::BytesMut::with_capacity(256 << 10);
                while piece.len() < 256 << 10 && stream.read_buf(&mut piece).await.unwrap() > 0 {}
                got += piece.len();
                kept.push(piece.freeze());
            }
            per_second(64 * MB, begin.elapsed())
        }));
        let config = patient(Config::default());
        let states = vec![(id("warm"), content(2, MB)), (id("r"), state.clone())];
        let (at, _end) = beside(move || holder(config, states));
        ours.push(runtime().block_on(async {
            let node = Node::new(config, 8, log());
            // A connection is there, as it is between servers that work.
            drop(node.fetch(&id("warm"), &[at], None).await.unwrap());
            let begin = Instant::now();
            let whole = node.fetch(&id("r"), &[at], None).await.unwrap();
            let rate = per_second(64 * MB, begin.elapsed());
            assert!(whole.chunks().concat() == state[..]);
            rate
        }));
    }
    let ratios = plain.iter().zip(&ours).map(|(p, o)| o / p).collect();
    let (plain, ours) = (median(plain), median(ours));
    println!("goodput of 64 MiB: {ours:.0} MiB/s, plain copy {plain:.0} MiB/s, ratio {:.2}", median(ratios));
}

fn checksums() {
    let state = content(1, 64 * MB);
    let time = |f: &dyn Fn()| {
        let run = || {
            let begin = Instant::now();
            f();
            per_second(64 * MB, begin.elapsed())
        };
        median((0..9).map(|_| run()).collect())
    };
    let crc = time(&|| {
        state.chunks(256 << 10).for_each(|c| {
            std::hint::black_box(crc32c::crc32c(c));
        });
    });
    println!("checksums by themselves, one core, MiB/s: CRC32C {crc:.0}");
    for chunk in [4 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20] {
        let rate = time(&|| drop(std::hint::black_box(Proof::compute(&state, chunk).unwrap())));
        println!("  BLAKE3 tree, chunks of {} KiB: {rate:.0}", chunk >> 10);
    }
}

fn slowed() {
    for rate in [10 * MB, 100 * MB] {
        let state = content(1, rate * 2);
        let config = patient(Config::default());
        let states = vec![(id("r"), state.clone())];
        let (at, _end) = beside(move || holder(config, states));
        let (link, _link) = slow_link(at, rate);
        runtime().block_on(async {
            let node = Node::new(config, 8, log());
            let begin = Instant::now();
            drop(node.fetch(&id("r"), &[link], None).await.unwrap());
            let got = per_second(state.len(), begin.elapsed());
            println!("over {} MiB/s: {got:.1} MiB/s, share {:.3}", rate / MB, got * MB as f64 / rate as f64);
        });
    }
}

fn fairness() {
    const MOVES: usize = 256;
    let rate = 50 * MB;
    let config = Config { chunk_bytes: 16 << 10, ..patient(Config::default()) };
    let states = (0..MOVES).map(|n| (id(n), content(n as u64, MB / 2))).collect();
    let (at, _end) = beside(move || holder(config, states));
    let (link, _link) = slow_link(at, rate);
    runtime().block_on(async {
        let node = Node::new(config, 8, log());
        let begin = Instant::now();
        // Sixteen are due: together they need 160 ms of the link, and have 400.
        let from = [link];
        let names: Vec<RequestId> = (0..MOVES).map(id).collect();
        let moves = names.iter().enumerate().map(|(n, name)| {
            let (node, from) = (&node, &from);
            async move {
                let due = (n % 16 == 5).then_some(Duration::from_millis(400));
                let whole: ReceivedCache = node.fetch(name, from, due).await.unwrap();
                (due.is_some(), begin.elapsed(), whole)
            }
        });
        let half = async {
            sleep(Duration::from_secs_f64(MOVES as f64 * 0.25 / 50.0)).await;
            // Those without a time; what has ended has got all of its state.
            let rest = node.progress();
            let share = |n: usize| {
                let under_way = rest.iter().find(|(name, ..)| *name == id(n));
                under_way.map_or(MB as f64 / 2.0, |(_, here, _)| *here as f64)
            };
            let shares: Vec<f64> = (0..MOVES).filter(|n| n % 16 != 5).map(share).collect();
            let sum = shares.iter().sum::<f64>();
            let jain = sum * sum / (shares.len() as f64 * shares.iter().map(|s| s * s).sum::<f64>());
            println!(
                "256 moves, at half of the time: {} without a time, Jain's index {jain:.4}",
                shares.len()
            );
        };
        let (ends, ()) = tokio::join!(futures_util::future::join_all(moves), half);
        let due = ends.iter().filter(|(due, ..)| *due);
        let last = due.clone().map(|(_, at, _)| *at).max().unwrap();
        let all = ends.iter().map(|(_, at, _)| *at).max().unwrap();
        println!(
            "  16 due within 400 ms: the last after {last:.0?}; all after {all:.2?}, share of the link {:.3}",
            (MOVES * MB / 2) as f64 / all.as_secs_f64() / rate as f64
        );
    });
}

fn cut() {
    runtime().block_on(async {
        let config = patient(Config::default());
        let state = content(1, 64 * MB);
        let mut again = Vec::new();
        for _ in 0..5 {
            let holder = Node::new(config, 7, log());
            let link = Link::start(holder.listen(any()).await.unwrap()).await.unwrap();
            link.script(&[Event { way: Way::Down, at: 32 * MB as u64, fault: Fault::Cut }]);
            holder.begin_prefill(id("r")).unwrap().store(state.clone()).await.unwrap();
            let node = Node::new(config, 8, log());
            drop(node.fetch(&id("r"), &[link.address], None).await.unwrap());
            again.push((holder.status().total.bytes_sent - state.len() as u64) as f64 / MB as f64);
        }
        let window = f64::from(config.receiver.window_bytes) / MB as f64;
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
            let runs = (0..50).map(|n| fault(config, batch * 50 + n));
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

/// One seeded fault in the midst of a move that is not mended; how long until both ends are free.
async fn fault(config: Config, seed: u64) -> Duration {
    let mut rng = SmallRng::seed_from_u64(seed);
    let holder = Node::new(config, 1, log());
    let link = Link::start(holder.listen(any()).await.unwrap()).await.unwrap();
    link.rate(8 * MB as u64);
    holder.begin_prefill(id("r")).unwrap().store(content(seed, 4 * MB)).await.unwrap();
    let node = Node::new(config, 2, log());
    let (name, from) = (id("r"), [link.address]);
    let fetch = node.fetch(&name, &from, None);
    tokio::pin!(fetch);
    let after = Duration::from_millis(rng.random_range(0..400));
    tokio::select! {
        _ = &mut fetch => {}
        () = sleep(after) => {}
    }
    let begin = Instant::now();
    let kind = rng.random_range(0..6);
    match kind {
        0 => {
            link.dark(true);
            link.cut();
        }
        1 => {
            link.dark(true);
            link.stall(true);
        }
        2 => holder.release(&name),
        3 => node.release(&name),
        4 => holder.drain(Duration::from_millis(rng.random_range(0..900))),
        _ => {}
    }
    if kind < 5 {
        let _ = fetch.await;
    } else {
        // The client has gone, and nobody says so to the holder but the end of the fetch itself.
        tokio::select! {
            biased;
            _ = &mut fetch => {}
            () = std::future::ready(()) => {}
        }
        node.release(&name);
    }
    holder.wait_until_idle().await;
    node.wait_until_idle().await;
    begin.elapsed()
}

fn memory() {
    const MOVES: usize = 1_000;
    runtime().block_on(async {
        let config = patient(Config::default());
        let names: Vec<RequestId> = (0..MOVES).map(id).collect();
        let holder = Node::new(config, 1, log());
        let link = Link::start(holder.listen(any()).await.unwrap()).await.unwrap();
        let before = ALLOCATED.allocated();
        for name in &names {
            holder
                .begin_prefill(name.clone())
                .unwrap()
                .store(Bytes::from_static(&[7; 1 << 20]))
                .await
                .unwrap();
        }
        let held = ALLOCATED.allocated();
        println!(
            "memory: a state of 4 chunks that waits, its bytes not counted: {} B",
            (held - before) / MOVES
        );
        let node = Node::new(config, 2, log());
        // Warm, then stalled with all moves begun.
        drop(node.fetch(&id("none"), &[link.address], None).await);
        let base = ALLOCATED.allocated();
        link.stall(true);
        let from = [link.address];
        let moves: Vec<_> = names.iter().map(|n| node.fetch(n, &from, None)).collect();
        // Counted while they are there.
        let count = async {
            sleep(Duration::from_millis(100)).await;
            ALLOCATED.allocated() - base
        };
        let idle = tokio::select! {
            _ = futures_util::future::join_all(moves) => 0,
            count = count => count,
        };
        println!("  a move that waits for its holder's word, at the taker: {} B", idle / MOVES);
    });
}

/// Moves that are half done: all that is allocated besides the chunks that are there.
fn busy_memory() {
    const MOVES: usize = 100;
    runtime().block_on(async {
        let config = Config { chunk_bytes: 16 << 10, ..patient(Config::default()) };
        let names: Vec<RequestId> = (0..MOVES).map(id).collect();
        let holder = Node::new(config, 1, log());
        let link = Link::start(holder.listen(any()).await.unwrap()).await.unwrap();
        for name in &names {
            holder
                .begin_prefill(name.clone())
                .unwrap()
                .store(Bytes::from_static(&[7; 1 << 20]))
                .await
                .unwrap();
        }
        let node = Node::new(config, 2, log());
        drop(node.fetch(&id("none"), &[link.address], None).await);
        let base = ALLOCATED.allocated();
        link.script(&[Event { way: Way::Down, at: 50 * MB as u64, fault: Fault::Stall }]);
        let from = [link.address];
        let moves: Vec<_> = names.iter().map(|n| node.fetch(n, &from, None)).collect();
        let count = async {
            sleep(Duration::from_millis(300)).await;
            let here: u64 = node.progress().iter().map(|(_, here, _)| here).sum();
            (here, (ALLOCATED.allocated() - base) as i64 - here as i64)
        };
        let (here, more) = tokio::select! {
            _ = futures_util::future::join_all(moves) => (0, 0),
            count = count => count,
        };
        println!(
            "  a move half done, 64 chunks, both ends, chunks not counted: {} B ({} MiB are here)",
            more / MOVES as i64,
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
    // `-- NAME` runs one of them.
    let wanted: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    for (_, part) in parts.iter().filter(|(name, _)| wanted.is_empty() || wanted.iter().any(|w| w == name)) {
        part();
    }
}
