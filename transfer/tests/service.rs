//! Nodes on loopback, connected by the stand-in link: faulty links, faulty peers and early ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use frosttrail_standins::link::{Direction, Fault, Link, ScriptedFault};
use frosttrail_transfer::cause::Cause;
use frosttrail_transfer::service::{query_status, Config, FetchError, Node, PushPolicy, ReceivedCache};
use frosttrail_transfer::wire::RequestId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

const CHUNK_BYTES: u32 = 16 << 10;
/// Longer than any operation here should take.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Both ends must be free within this time; it includes the margin for a busy machine.
const MAX_TIME_TO_FREE: Duration = Duration::from_millis(1_000);

fn config() -> Config {
    let mut config = Config {
        chunk_bytes: CHUNK_BYTES,
        handshake_timeout: Duration::from_millis(300),
        ..Config::default()
    };
    config.receiver.window_bytes = 8 * CHUNK_BYTES;
    config
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Captures the log messages of a node, from info on.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<String>>>);

impl slog::Drain for CapturedLog {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        if record.level().is_at_least(slog::Level::Info) {
            self.0.lock().unwrap().push(record.msg().to_string());
        }
        Ok(())
    }
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn id(name: &str) -> RequestId {
    RequestId::new(name).unwrap()
}

fn content(seed: u64, length: usize) -> Bytes {
    let mut bytes = vec![0; length];
    SmallRng::seed_from_u64(seed).fill(&mut bytes[..]);
    bytes.into()
}

fn is_same(received: &ReceivedCache, cache: &Bytes) -> bool {
    received.chunks().concat() == cache[..]
}

/// A sender, a receiver, and the link between them.
struct Pair {
    sender: Node,
    receiver: Node,
    link: Link,
}

impl Pair {
    async fn start() -> Self {
        Pair::with(config()).await
    }

    async fn with(config: Config) -> Self {
        let sender = Node::new(config, 1, log());
        let at = sender.listen(any_address()).await.unwrap();
        let link = Link::start(at).await.unwrap();
        Pair { sender, receiver: Node::new(config, 2, log()), link }
    }

    async fn store(&self, name: &str, cache: &Bytes) {
        self.sender.begin_prefill(id(name)).unwrap().store(cache.clone()).await.unwrap();
    }

    async fn fetch(&self, name: &str) -> Result<ReceivedCache, FetchError> {
        timeout(TEST_TIMEOUT, self.receiver.fetch(&id(name), &[self.link.address], None)).await.unwrap()
    }

    /// Waits until both ends are free, and checks that it takes no longer than allowed.
    async fn assert_free_in_time(&self) {
        let start = Instant::now();
        let both = async { tokio::join!(self.sender.wait_until_idle(), self.receiver.wait_until_idle()) };
        timeout(TEST_TIMEOUT, both).await.unwrap();
        assert!(start.elapsed() <= MAX_TIME_TO_FREE, "free after {:?}", start.elapsed());
        assert_eq!(self.receiver.status().memory, 0);
    }

    fn bytes_resent(&self, cache: &Bytes) -> u64 {
        self.sender.status().total.bytes_sent - cache.len() as u64
    }
}

#[tokio::test]
async fn a_cache_arrives_complete_and_leaves_the_sender() {
    let pair = Pair::start().await;
    for length in [1, CHUNK_BYTES as usize, CHUNK_BYTES as usize + 1, 3_000_000] {
        let cache = content(1, length);
        pair.store("r1", &cache).await;
        let received = pair.fetch("r1").await.unwrap();
        assert!(is_same(&received, &cache));
        assert_eq!((pair.sender.status().states, pair.receiver.status().memory), (0, length as u64));
        drop(received);
        assert_eq!(pair.receiver.status().memory, 0);
    }
    assert_eq!(pair.fetch("r1").await.unwrap_err(), FetchError::Failed(Cause::OwnedElsewhere));
    assert_eq!(pair.fetch("r2").await.unwrap_err(), FetchError::Failed(Cause::NotFound));
    assert_eq!(pair.receiver.fetch(&id("r1"), &[], None).await.unwrap_err(), FetchError::NoSender);
}

#[tokio::test]
async fn the_sender_that_has_the_cache_is_found_among_several() {
    let pair = Pair::start().await;
    let cache = content(2, 100_000);
    pair.store("r1", &cache).await;
    let empty = Node::new(config(), 3, log());
    let (empty_at, unreachable) = (empty.listen(any_address()).await.unwrap(), any_address());
    let from = [empty_at, pair.link.address, unreachable];
    assert!(is_same(&pair.receiver.fetch(&id("r1"), &from, None).await.unwrap(), &cache));
}

#[tokio::test]
async fn a_flipped_bit_anywhere_is_detected_and_the_cache_still_arrives() {
    let cache = content(3, 10 * CHUNK_BYTES as usize);
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut bad, mut faults) = (0, 0);
    for round in 0..60 {
        let pair = Pair::start().await;
        // Hits the hello, the offer with its hashes, headers and chunks, and the receiver's frames.
        let at = match round {
            0..20 => round * 24,
            _ => rng.random_range(0..cache.len() as u64),
        };
        let up = ScriptedFault {
            direction: Direction::Upstream,
            offset: rng.random_range(0..200),
            fault: Fault::FlipBit,
        };
        let down = ScriptedFault { direction: Direction::Downstream, offset: at, fault: Fault::FlipBit };
        pair.link.add_faults(&[down, up][..if round % 4 == 0 { 2 } else { 1 }]);
        pair.store("r1", &cache).await;
        let received = pair.fetch("r1").await.unwrap();
        assert!(is_same(&received, &cache), "flipped at {at}");
        let total = pair.receiver.status().total;
        bad += total.chunks_bad;
        faults += total.faults;
    }
    assert!(bad > 20 && faults > 10, "{bad} chunks, {faults} connections");
}

#[tokio::test]
async fn a_link_that_corrupts_every_chunk_ends_the_transfer_and_frees_both_ends() {
    let pair = Pair::start().await;
    let cache = content(4, CHUNK_BYTES as usize);
    // One flipped bit in each copy of the only chunk.
    let flips = (0..40).map(|n| ScriptedFault {
        direction: Direction::Downstream,
        offset: 4_000 + n * 8_000,
        fault: Fault::FlipBit,
    });
    pair.link.add_faults(&flips.collect::<Vec<_>>());
    let mut reports = pair.sender.subscribe_freed();
    pair.store("r1", &cache).await;
    assert_eq!(pair.fetch("r1").await.unwrap_err(), FetchError::Failed(Cause::Corrupt));
    pair.assert_free_in_time().await;
    assert_eq!(reports.recv().await, Some((id("r1"), Cause::Corrupt)));
    assert_eq!(
        u32::from(config().receiver.max_chunk_attempts),
        pair.receiver.status().total.chunks_bad as u32
    );
}

#[tokio::test]
async fn a_connection_lost_at_any_byte_resends_at_most_a_window() {
    let cache = content(5, 12 * CHUNK_BYTES as usize);
    let mut rng = SmallRng::seed_from_u64(9);
    // Around the hello and the offer, at each chunk's header and middle, and at random places.
    let frame = u64::from(CHUNK_BYTES) + 24;
    let headers = (0..12).flat_map(|n| [510 + n * frame, 534 + n * frame, 8_000 + n * frame]);
    let places =
        [0, 20, 54, 80].into_iter().chain(headers).chain((0..20).map(|_| rng.random_range(0..190_000)));
    for at in places {
        let pair = Pair::start().await;
        pair.link.add_faults(&[ScriptedFault {
            direction: Direction::Downstream,
            offset: at,
            fault: Fault::Reset,
        }]);
        pair.store("r1", &cache).await;
        assert!(is_same(&pair.fetch("r1").await.unwrap(), &cache), "cut at {at}");
        let window = u64::from(config().receiver.window_bytes);
        assert!(
            pair.bytes_resent(&cache) <= window,
            "{} bytes sent again, cut at {at}",
            pair.bytes_resent(&cache)
        );
        // The grant may have been lost and sent again.
        timeout(TEST_TIMEOUT, pair.sender.wait_until_idle()).await.unwrap();
    }
    for at in (0..400).step_by(13) {
        let pair = Pair::start().await;
        pair.link.add_faults(&[ScriptedFault {
            direction: Direction::Upstream,
            offset: at,
            fault: Fault::Reset,
        }]);
        pair.store("r1", &cache).await;
        assert!(is_same(&pair.fetch("r1").await.unwrap(), &cache), "cut upwards at {at}");
    }
}

#[tokio::test]
async fn an_outage_of_half_a_second_is_survived_and_a_longer_one_frees_both_ends() {
    let cache = content(6, 40 * CHUNK_BYTES as usize);
    for fault in [Fault::Reset, Fault::Stall] {
        let pair = Pair::start().await;
        pair.link.add_faults(&[ScriptedFault { direction: Direction::Downstream, offset: 200_000, fault }]);
        pair.store("r1", &cache).await;
        let back = async {
            while pair.link.forwarded_bytes().1 < 200_000 {
                sleep(Duration::from_millis(1)).await;
            }
            pair.link.set_unreachable(true);
            pair.link.reset_connections();
            sleep(Duration::from_millis(500)).await;
            pair.link.set_stalled(false);
            pair.link.set_unreachable(false);
        };
        let (received, ()) = tokio::join!(pair.fetch("r1"), back);
        assert!(is_same(&received.unwrap(), &cache), "{fault:?}");
        assert!(pair.bytes_resent(&cache) <= u64::from(config().receiver.window_bytes));

        let pair = Pair::start().await;
        pair.link.add_faults(&[ScriptedFault { direction: Direction::Downstream, offset: 200_000, fault }]);
        pair.store("r1", &cache).await;
        let gone = async {
            while pair.link.forwarded_bytes().1 < 200_000 {
                sleep(Duration::from_millis(1)).await;
            }
            pair.link.set_unreachable(true);
            if fault == Fault::Reset {
                pair.link.reset_connections();
            }
            pair.assert_free_in_time().await;
        };
        let (end, ()) = tokio::join!(pair.fetch("r1"), gone);
        assert_eq!(end.unwrap_err(), FetchError::Failed(Cause::PeerLost), "{fault:?}");
    }
}

#[tokio::test]
async fn a_dropped_fetch_and_a_release_at_either_end_free_both_ends() {
    let cache = content(7, 2_000_000);
    for end in 0..3 {
        let pair = Pair::start().await;
        pair.link.set_rate(4_000_000);
        pair.store("r1", &cache).await;
        let fetch = pair.fetch("r1");
        if end == 0 {
            assert!(timeout(Duration::from_millis(100), fetch).await.is_err());
            let status = pair.receiver.status();
            assert_eq!((status.fetching, status.memory), (0, 0), "dropping the future must end the fetch");
            // The KV cache remains available to another fetch.
            sleep(Duration::from_millis(300)).await;
            pair.link.set_rate(0);
            assert!(is_same(&pair.fetch("r1").await.unwrap(), &cache));
        } else {
            let release = async {
                sleep(Duration::from_millis(100)).await;
                let node = if end == 1 { &pair.sender } else { &pair.receiver };
                (0..2).for_each(|_| node.release(&id("r1")));
                Instant::now()
            };
            let (ended, at) = tokio::join!(fetch, release);
            assert_eq!(ended.unwrap_err(), FetchError::Failed(Cause::Released));
            pair.assert_free_in_time().await;
            assert!(at.elapsed() < MAX_TIME_TO_FREE / 2, "free after {:?}", at.elapsed());
        }
        pair.assert_free_in_time().await;
    }
    // A server that does not know the request forwards the release to connected nodes.
    let pair = Pair::start().await;
    pair.store("r1", &cache).await;
    let third = Node::new(config(), 3, log());
    assert!(third.fetch(&id("other"), &[pair.link.address], None).await.is_err());
    let mut reports = pair.sender.subscribe_freed();
    third.release(&id("r1"));
    pair.assert_free_in_time().await;
    assert_eq!(reports.recv().await, Some((id("r1"), Cause::Released)));
}

#[tokio::test]
async fn a_restarted_sender_is_not_mistaken_for_the_process_before() {
    let cache = content(8, 2_000_000);
    let mut pair = Pair::start().await;
    pair.link.add_faults(&[ScriptedFault {
        direction: Direction::Downstream,
        offset: 1_000_000,
        fault: Fault::Stall,
    }]);
    pair.store("r1", &cache).await;
    let again = async {
        while pair.link.forwarded_bytes().1 < 1_000_000 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    let (r1, from) = (id("r1"), [pair.link.address]);
    let fetch = pair.receiver.fetch(&r1, &from, None);
    tokio::pin!(fetch);
    tokio::select! {
        _ = &mut fetch => panic!("the fetch must stall"),
        () = again => {}
    }
    // Another process at the same address, which has prefilled the same request again.
    let other = Node::new(config(), 9, log());
    other.begin_prefill(id("r1")).unwrap().store(content(9, 2_000_000)).await.unwrap();
    let link = Link::start(other.listen(any_address()).await.unwrap()).await.unwrap();
    pair.sender = other;
    pair.link.set_target(link.address);
    pair.link.reset_connections();
    pair.link.set_stalled(false);
    assert_eq!(timeout(TEST_TIMEOUT, fetch).await.unwrap().unwrap_err(), FetchError::Failed(Cause::NotFound));
}

#[tokio::test]
async fn many_transfers_over_one_slow_link_all_arrive() {
    let mut config = config();
    config.receiver.max_memory_bytes = 20 * 100_000;
    let pair = Pair::with(config).await;
    pair.link.set_rate(20_000_000);
    let caches: Vec<Bytes> = (0..64).map(|n| content(n, 100_000)).collect();
    let transfers = caches.iter().enumerate().map(|(n, cache)| {
        let (pair, name) = (&pair, format!("r{n}"));
        async move {
            pair.store(&name, cache).await;
            let received = pair.fetch(&name).await.unwrap();
            assert!(is_same(&received, cache) && pair.receiver.status().memory <= 20 * 100_000);
        }
    });
    futures_util::future::join_all(transfers).await;
    pair.assert_free_in_time().await;
    assert_eq!(pair.sender.status().total.bytes_sent, 64 * 100_000, "a byte was sent more than once");
}

#[tokio::test]
async fn a_stalled_receiver_does_not_block_others() {
    let mut config = config();
    config.sender.max_in_flight_bytes = 4 * u64::from(CHUNK_BYTES);
    let pair = Pair::with(config).await;
    let stalled = Node::new(config, 3, log());
    let slow = Link::start(pair.link.target()).await.unwrap();
    slow.set_rate(20_000);
    let cache = content(1, 1_000_000);
    pair.store("slow", &cache).await;
    pair.store("r1", &cache).await;
    let (slow_id, from) = (id("slow"), [slow.address]);
    let stalled = stalled.fetch(&slow_id, &from, None);
    tokio::pin!(stalled);
    let begun = async {
        while pair.sender.status().in_flight == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        _ = &mut stalled => panic!("a second's worth is 20 kB"),
        () = begun => {}
    }
    let start = Instant::now();
    assert!(is_same(&pair.fetch("r1").await.unwrap(), &cache));
    assert!(start.elapsed() < MAX_TIME_TO_FREE, "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_drain_ends_in_time_and_completes_transfers() {
    let pair = Pair::start().await;
    let mut reports = pair.sender.subscribe_freed();
    let cache = content(1, 1_000_000);
    for name in ["r1", "r2"] {
        pair.store(name, &cache).await;
    }
    pair.link.set_rate(4_000_000);
    let drain = async {
        while pair.sender.status().sending == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        pair.sender.drain(Duration::from_millis(600));
        assert!(pair.sender.begin_prefill(id("r3")).is_err());
        let start = Instant::now();
        pair.sender.wait_until_idle().await;
        start.elapsed()
    };
    let (moved, took) = tokio::join!(pair.fetch("r1"), drain);
    assert!(is_same(&moved.unwrap(), &cache));
    assert!(took <= Duration::from_millis(700), "{took:?}");
    assert_eq!(reports.recv().await, Some((id("r2"), Cause::Drained)));
}

#[tokio::test]
async fn a_pushed_cache_arrives_over_a_link_that_is_cut() {
    let cache = content(1, 1_000_000);
    let service = Node::new(Config { push_policy: PushPolicy::Deliver, ..config() }, 2, log());
    let mut arrived = service.subscribe_pushed();
    let link = Link::start(service.listen(any_address()).await.unwrap()).await.unwrap();
    link.add_faults(&[300_000, 700_000].map(|at| ScriptedFault {
        direction: Direction::Upstream,
        offset: at,
        fault: Fault::Reset,
    }));
    let from = Node::new(config(), 1, log());
    from.begin_prefill(id("r1")).unwrap().store(cache.clone()).await.unwrap();
    timeout(TEST_TIMEOUT, from.push(&id("r1"), link.address)).await.unwrap().unwrap();
    let got = arrived.recv().await.unwrap();
    assert!(got.id == id("r1") && is_same(&got.cache, &cache));
    assert!(from.status().total.bytes_sent <= 1_000_000 + 2 * u64::from(config().receiver.window_bytes));
    // A node that accepts no pushes refuses them, and an unreachable one is given up in time.
    let closed = Node::new(config(), 3, log());
    let at = closed.listen(any_address()).await.unwrap();
    from.begin_prefill(id("r2")).unwrap().store(cache.clone()).await.unwrap();
    assert_eq!(from.push(&id("r2"), at).await, Err(Cause::Unwanted));
    from.begin_prefill(id("r3")).unwrap().store(cache).await.unwrap();
    drop(link);
    let start = Instant::now();
    assert_eq!(from.push(&id("r3"), any_address()).await, Err(Cause::Expired));
    assert!(start.elapsed() <= MAX_TIME_TO_FREE);
}

/// Bytes of a frame without a body: the header and a checksum.
const EMPTY_FRAME_BYTES: u64 = 28;

/// A push over a link with one fault, counted in bytes from the end of what a push without faults forwards.
async fn push_with_fault(fault: Option<(Direction, u64, Fault)>, totals: (u64, u64)) -> (u64, u64) {
    let cache = content(1, 10 * CHUNK_BYTES as usize);
    let service = Node::new(Config { push_policy: PushPolicy::Deliver, ..config() }, 2, log());
    let mut arrived = service.subscribe_pushed();
    let link = Link::start(service.listen(any_address()).await.unwrap()).await.unwrap();
    if let Some((direction, before_end, fault)) = fault {
        let total = if direction == Direction::Upstream { totals.0 } else { totals.1 };
        link.add_faults(&[ScriptedFault { direction, offset: total - before_end, fault }]);
    }
    let from = Node::new(config(), 1, log());
    from.begin_prefill(id("r1")).unwrap().store(cache.clone()).await.unwrap();
    let end_stall = async {
        if let Some((_, _, Fault::Stall)) = fault {
            // The silence is noticed after 0.4 s.
            sleep(Duration::from_millis(500)).await;
            link.set_stalled(false);
        }
    };
    let request = id("r1");
    let push = timeout(TEST_TIMEOUT, from.push(&request, link.address));
    let (pushed, ()) = tokio::join!(push, end_stall);
    assert_eq!(pushed.unwrap(), Ok(()), "{fault:?}");
    let got = arrived.try_recv().unwrap_or_else(|_| panic!("{fault:?}: pushed, and not at the node"));
    assert!(is_same(&got.cache, &cache));
    assert_eq!(service.status().total.arrived, 1, "{fault:?}");
    link.forwarded_bytes()
}

/// Guards against a push that is reported as delivered although the grant is lost with the connection: the
/// node then frees the cache, and nobody has it.
#[tokio::test]
async fn a_push_is_at_the_node_once_it_is_reported_wherever_the_connection_is_lost() {
    let totals = push_with_fault(None, (0, 0)).await;
    for direction in [Direction::Upstream, Direction::Downstream] {
        for before_end in [1, EMPTY_FRAME_BYTES / 2, EMPTY_FRAME_BYTES, EMPTY_FRAME_BYTES + 1] {
            push_with_fault(Some((direction, before_end, Fault::Reset)), totals).await;
        }
        push_with_fault(Some((direction, EMPTY_FRAME_BYTES, Fault::Stall)), totals).await;
    }
}

/// Guards against a node that ends as soon as it has handed over its last cache, with the grant on its way:
/// the fetching node can't ask for it again.
#[tokio::test]
async fn a_draining_node_stays_until_its_last_grant_has_arrived() {
    let cache = content(1, 10 * CHUNK_BYTES as usize);
    let fetch_with_fault = async |before_end: Option<(u64, u64)>| {
        let Pair { sender, receiver, link } = Pair::start().await;
        sender.begin_prefill(id("r1")).unwrap().store(cache.clone()).await.unwrap();
        if let Some((total, before_end)) = before_end {
            let offset = total - before_end;
            link.add_faults(&[ScriptedFault {
                direction: Direction::Downstream,
                offset,
                fault: Fault::Reset,
            }]);
        }
        let end_when_idle = async {
            sender.drain(Duration::from_secs(5));
            sender.wait_until_idle().await;
            drop(sender);
        };
        let (request, from) = (id("r1"), [link.address]);
        let fetch = timeout(TEST_TIMEOUT, receiver.fetch(&request, &from, None));
        let (fetched, ()) = tokio::join!(fetch, end_when_idle);
        assert!(is_same(&fetched.unwrap().unwrap(), &cache));
        link.forwarded_bytes().1
    };
    let total = fetch_with_fault(None).await;
    for before_end in [1, EMPTY_FRAME_BYTES] {
        fetch_with_fault(Some((total, before_end))).await;
    }
}

#[tokio::test]
async fn a_node_beside_a_server_holds_pushed_caches_until_they_are_fetched() {
    let cache = content(1, 1_000_000);
    let pair = Pair::with(Config { push_policy: PushPolicy::Store, ..config() }).await;
    let from = Node::new(config(), 9, log());
    from.begin_prefill(id("r1")).unwrap().store(cache.clone()).await.unwrap();
    from.push(&id("r1"), pair.link.address).await.unwrap();
    assert!(is_same(&pair.fetch("r1").await.unwrap(), &cache));
    assert_eq!((pair.sender.status().memory, pair.sender.status().state_bytes), (0, 0));
    // A draining node accepts no pushes.
    pair.sender.drain(MAX_TIME_TO_FREE);
    from.begin_prefill(id("r2")).unwrap().store(cache).await.unwrap();
    assert_eq!(from.push(&id("r2"), pair.link.address).await, Err(Cause::Drained));
}

/// Guards against a drain that drops a KV cache which it has taken: the sender of a push that was accepted
/// before the drain is told that the node owns it.
#[tokio::test]
async fn a_push_accepted_before_a_drain_is_held_until_it_is_fetched() {
    let cache = content(1, 1_000_000);
    let pair = Pair::with(Config { push_policy: PushPolicy::Store, ..config() }).await;
    let mut reports = pair.sender.subscribe_freed();
    let from = Node::new(config(), 9, log());
    for name in ["r1", "r2"] {
        from.begin_prefill(id(name)).unwrap().store(cache.clone()).await.unwrap();
    }
    pair.link.set_rate(4_000_000);
    let (first, second) = (id("r1"), id("r2"));
    let push_both =
        async { tokio::join!(from.push(&first, pair.link.address), from.push(&second, pair.link.address)) };
    let drain = async {
        while pair.sender.status().fetching < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        pair.sender.drain(MAX_TIME_TO_FREE);
    };
    let (pushed, ()) = tokio::join!(push_both, drain);
    assert_eq!(pushed, (Ok(()), Ok(())));
    assert!(is_same(&pair.fetch("r1").await.unwrap(), &cache));
    // What nobody fetches is freed and reported like anything else that is held.
    let freed = timeout(TEST_TIMEOUT, reports.recv()).await.unwrap().map(|(freed_id, _)| freed_id);
    assert_eq!(freed, Some(second));
    assert_eq!(pair.sender.status().states, 0);
}

#[tokio::test]
async fn bad_input_closes_its_connection_with_one_log_line_and_affects_nothing_else() {
    let lines = CapturedLog::default();
    let log = slog::Logger::root(lines.clone(), slog::o!());
    let sender = Node::new(config(), 1, log);
    let at = sender.listen(any_address()).await.unwrap();
    let cache = content(1, 1_000_000);
    sender.begin_prefill(id("r1")).unwrap().store(cache.clone()).await.unwrap();
    let hello = {
        // A valid hello frame, for the cases that go wrong after it.
        let mut stream = TcpStream::connect(at).await.unwrap();
        let mut bytes = vec![0; 54];
        stream.read_exact(&mut bytes).await.unwrap();
        bytes
    };
    // That connection closes during the handshake.
    let noise = content(3, 5_000);
    let behind = |rest: &[u8]| [&hello, rest].concat();
    let mut huge = [&u32::MAX.to_be_bytes()[..], &[5], &[0; 15]].concat();
    huge.extend(crc32c::crc32c(&huge).to_be_bytes());
    let cases = [
        noise.to_vec(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        hello[..30].to_vec(),
        Vec::new(),
        behind(&noise),
        behind(&huge),
        behind(&hello),
    ];
    sleep(Duration::from_millis(50)).await;
    let receiver = Node::new(config(), 2, self::log());
    let link = Link::start(at).await.unwrap();
    link.set_rate(2_000_000);
    let (r1, from) = (id("r1"), [link.address]);
    let fetch = receiver.fetch(&r1, &from, None);
    let bad = async {
        for case in &cases {
            let before = lines.0.lock().unwrap().len();
            let mut stream = TcpStream::connect(at).await.unwrap();
            let _ = stream.write_all(case).await;
            let start = Instant::now();
            let _ = stream.read_to_end(&mut Vec::new()).await;
            assert!(start.elapsed() < MAX_TIME_TO_FREE, "the connection must close in time");
            let new = lines.0.lock().unwrap()[before..].to_vec();
            assert_eq!(new, ["closed a faulty connection"], "{case:?}");
        }
    };
    let (received, ()) = tokio::join!(fetch, bad);
    assert!(is_same(&received.unwrap(), &cache), "the transfer under way must not be affected");
}

#[tokio::test]
async fn a_node_reports_its_status() {
    let pair = Pair::start().await;
    pair.store("r1", &content(1, 5_000)).await;
    let status = query_status(pair.link.address, TEST_TIMEOUT).await.unwrap();
    assert_eq!((status.incarnation, status.states, status.state_bytes), (1, 1, 5_000));
    assert!(query_status(any_address(), TEST_TIMEOUT).await.is_err());
}
