//! Sources of the list of members, against stand-in servers on loopback.

mod support;

use std::sync::Arc;
use std::time::Duration;

use frosttrail::setup::ConfiguredNames;
use frosttrail::{Health, Id, ListUpdateKind, ServerEntry};
use frosttrail_core::{Clock, MembershipSource, MembershipUpdate};
use frosttrail_daemon::config::XdsConfig;
use frosttrail_daemon::discovery::backoff::MAX_UPDATE_DELAY;
use frosttrail_daemon::discovery::{Backoff, DiscoveryConfig, Listing, PlatformDiscovery, XdsDiscovery};
use frosttrail_daemon::upstream::AddressTable;
use serde_json::{json, Value};
use support::*;
use tokio::sync::watch;
use tokio::time::timeout;

/// An upper bound on every wait of these tests.
const LATEST: Duration = Duration::from_secs(20);

const EMPTY_LINE: &str = "\n";
const LEAVING_CHANGE: &str =
    "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"127.0.0.1:7\",\"az\":\"z\",\
    \"model\":\"decode\",\"pod_group\":3,\"state\":\"leaving\",\"capacity_hint\":1.0,\"boot_ms\":0}]}\n";
const FULL_LIST: &str = "{\"rev\":9,\"all\":true,\"targets\":[]}\n";
const PARTIAL_LIST: &str = "{\"rev\":10,\"all\":true,";

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn names() -> ConfiguredNames {
    ConfiguredNames::new(&setup()).unwrap()
}

fn known_listing(kind: &str, boot_ms: u64) -> Listing {
    let target = |uid: &str, model: &str| {
        json!({"uid": uid, "endpoint": "127.0.0.1:9", "az": "z", "model": model, "pod_group": 3,
            "state": "active", "capacity_hint": 1.0, "boot_ms": boot_ms})
    };
    let listing =
        json!({"rev": 7, "all": true, "targets": [target("a", kind), target("b", "of the future")]});
    serde_json::from_value(listing).unwrap()
}

fn server_health(update: &MembershipUpdate) -> Vec<(&str, Health)> {
    update.entries.iter().map(|e| (&*e.server, e.health)).collect()
}

/// The configuration of an agent, in a fleet of two.
fn discovery_config(agent: std::net::SocketAddr) -> DiscoveryConfig {
    DiscoveryConfig { agent, conductors: 2 }
}

#[tokio::test]
async fn a_watch_resumes_from_the_last_version() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    // The first watch delivers a change and ends, the second an invalid line, the third a list.
    agent.next(Behavior::BreaksAfter(&[EMPTY_LINE, LEAVING_CHANGE, EMPTY_LINE]));
    agent.next(Behavior::Streams(&[PARTIAL_LIST, "\n"]));
    agent.next(Behavior::StallsAfter(&[FULL_LIST_PARTS.0, FULL_LIST_PARTS.1]));
    let addresses = Arc::new(AddressTable::default());
    let (_config_sender, config) = watch::channel(discovery_config(agent.address));
    let mut discovery = PlatformDiscovery::new(
        config,
        known_listing("decode", 0),
        Backoff::new(2, 7),
        names(),
        Clock::new(),
        addresses.clone(),
        log(),
    );
    let first = discovery.next().await.unwrap();
    assert_eq!((first.kind, server_health(&first)), (ListUpdateKind::StaleCopy, vec![("a", Health::Up)]));
    assert_eq!((first.entries[0].kind, first.entries[0].rack, first.entries[0].started), (1, 3, 0));
    let second = discovery.next().await.unwrap();
    assert_eq!(
        (second.kind, server_health(&second)),
        (ListUpdateKind::Changes, vec![("a", Health::Draining)])
    );
    assert_eq!(addresses.get(&Id::from("a")), Some(([127, 0, 0, 1], 7).into()), "the address has changed");
    let third = discovery.next().await.unwrap();
    assert_eq!((third.kind, third.entries.len()), (ListUpdateKind::Full, 0));
    let watch_line = |rev: u32| format!("GET /catalog/members?stream=1&index={rev} HTTP/1.1");
    let lines: Vec<String> = agent.requests.lock().unwrap().iter().map(|g| g.line.clone()).collect();
    assert_eq!(lines, [watch_line(7), watch_line(8), watch_line(8)]);
}

#[tokio::test]
async fn a_new_agent_address_is_used_at_once_with_a_full_list() {
    let (mut old, new) =
        (StandIn::start(Behavior::StaysSilent).await, StandIn::start(Behavior::StaysSilent).await);
    // The new agent has its own versions; asked for changes since version 8, it might never respond.
    new.next(Behavior::Responds(200, false, "{\"rev\":2,\"all\":true,\"targets\":[]}"));
    new.next(Behavior::StallsAfter(&[LEAVING_CHANGE]));
    old.next(Behavior::StallsAfter(&[LEAVING_CHANGE]));
    let (config_sender, config) = watch::channel(discovery_config(old.address));
    let addresses = Arc::new(AddressTable::default());
    let mut discovery = PlatformDiscovery::new(
        config,
        known_listing("decode", 0),
        Backoff::new(2, 7),
        names(),
        Clock::new(),
        addresses,
        log(),
    );
    let mut kinds = vec![discovery.next().await.unwrap().kind, discovery.next().await.unwrap().kind];
    config_sender.send(discovery_config(new.address)).unwrap();
    kinds.extend([discovery.next().await.unwrap().kind, discovery.next().await.unwrap().kind]);
    assert_eq!(
        kinds,
        [ListUpdateKind::StaleCopy, ListUpdateKind::Changes, ListUpdateKind::Full, ListUpdateKind::Changes]
    );
    old.aborts.recv().await.unwrap();
    let lines: Vec<String> = new.requests.lock().unwrap().iter().map(|g| g.line.clone()).collect();
    let paths = ["/catalog/members", "/catalog/members?stream=1&index=2"];
    assert_eq!(lines, paths.map(|path| format!("GET {path} HTTP/1.1")));
}

const INDENTED_LIST: &str = "{\n  \"rev\": 9,\n\n  \"all\": true,\n  \"targets\": []\n}\n";
const INDENTED_LIST_PARTS: (&str, &str) = INDENTED_LIST.split_at(21);

#[tokio::test]
async fn indented_lists_are_read_from_a_full_list_and_from_a_watch() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    agent.next(Behavior::StallsAfter(&[
        EMPTY_LINE,
        INDENTED_LIST_PARTS.0,
        INDENTED_LIST_PARTS.1,
        EMPTY_LINE,
        LEAVING_CHANGE,
    ]));
    let new_agent = StandIn::start(Behavior::StaysSilent).await;
    new_agent.next(Behavior::Responds(200, false, INDENTED_LIST));
    let (config_sender, config) = watch::channel(discovery_config(agent.address));
    let (addresses, backoff) = (Arc::new(AddressTable::default()), Backoff::new(2, 7));
    let mut discovery = PlatformDiscovery::new(
        config,
        known_listing("decode", 0),
        backoff,
        names(),
        Clock::new(),
        addresses,
        log(),
    );
    let mut kinds = Vec::new();
    for _ in 0..3 {
        kinds.push(timeout(LATEST, discovery.next()).await.expect("a list in time").unwrap().kind);
    }
    assert_eq!(kinds, [ListUpdateKind::StaleCopy, ListUpdateKind::Full, ListUpdateKind::Changes]);
    config_sender.send(discovery_config(new_agent.address)).unwrap();
    let full = timeout(LATEST, discovery.next()).await.expect("a list in time").unwrap();
    assert_eq!((full.kind, full.entries.len()), (ListUpdateKind::Full, 0));
    assert_eq!(agent.posts().len() + agent.requests.lock().unwrap().len(), 1, "one watch delivered all");
}

#[tokio::test]
async fn a_silent_watch_is_reopened_within_the_update_delay() {
    let mut watches = tokio::task::JoinSet::new();
    for seed in 0..8 {
        watches.spawn(async move {
            let agent = StandIn::start(Behavior::StaysSilent).await;
            agent.next(Behavior::StallsAfter(&[EMPTY_LINE]));
            agent.next(Behavior::StallsAfter(&[LEAVING_CHANGE]));
            let (_config_sender, config) = watch::channel(discovery_config(agent.address));
            // In a fleet of 300 the waits between calls are longest.
            let (addresses, backoff) = (Arc::new(AddressTable::default()), Backoff::new(300, seed));
            let mut discovery = PlatformDiscovery::new(
                config,
                known_listing("decode", 0),
                backoff,
                names(),
                Clock::new(),
                addresses,
                log(),
            );
            discovery.next().await.unwrap();
            let started_at = std::time::Instant::now();
            let update = timeout(LATEST, discovery.next()).await.expect("a change in time").unwrap();
            assert_eq!(server_health(&update), [("a", Health::Draining)]);
            started_at.elapsed()
        });
    }
    let elapsed = watches.join_all().await;
    assert!(elapsed.iter().all(|t| *t <= Duration::from_secs(6)), "{elapsed:?}");
}

/// Creates the discovery of one conductor in a fleet of 300, with the last known list already delivered.
async fn discovery_past_known_list(config: watch::Receiver<DiscoveryConfig>, seed: u64) -> PlatformDiscovery {
    let (addresses, backoff) = (Arc::new(AddressTable::default()), Backoff::new(300, seed));
    let mut discovery = PlatformDiscovery::new(
        config,
        known_listing("decode", 0),
        backoff,
        names(),
        Clock::new(),
        addresses,
        log(),
    );
    discovery.next().await.unwrap();
    discovery
}

#[tokio::test]
async fn a_call_that_hangs_is_cancelled_and_the_next_succeeds_within_the_update_delay() {
    let mut discoveries = tokio::task::JoinSet::new();
    for seed in 0..8 {
        discoveries.spawn(async move {
            // The agent accepts the connection and sends nothing, or an incomplete head.
            let agent = StandIn::start(Behavior::StaysSilent).await;
            agent.next(
                [Behavior::StaysSilent, Behavior::SendsRaw("HTTP/1.1 200 OK\r\ncontent-")][seed as usize % 2]
                    .clone(),
            );
            agent.next(Behavior::StallsAfter(&[LEAVING_CHANGE]));
            let (_config_sender, config) = watch::channel(discovery_config(agent.address));
            let mut discovery = discovery_past_known_list(config, seed).await;
            let started_at = std::time::Instant::now();
            let update = timeout(LATEST, discovery.next()).await.expect("a change in time").unwrap();
            assert_eq!(server_health(&update), [("a", Health::Draining)]);
            started_at.elapsed()
        });
    }
    let elapsed = discoveries.join_all().await;
    assert!(elapsed.iter().all(|t| *t < MAX_UPDATE_DELAY), "{elapsed:?}");
}

#[tokio::test]
async fn a_watch_with_an_unfinished_list_counts_as_silent() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    agent.next(Behavior::SendsNewlines("HTTP/1.1 200 OK\r\n\r\n{\"rev\":8,\"all\":false,\n"));
    agent.next(Behavior::StallsAfter(&[LEAVING_CHANGE]));
    let (_config_sender, config) = watch::channel(discovery_config(agent.address));
    let mut discovery = discovery_past_known_list(config, 5).await;
    let started_at = std::time::Instant::now();
    let update = timeout(LATEST, discovery.next()).await.expect("a change in time").unwrap();
    assert_eq!(server_health(&update), [("a", Health::Draining)]);
    assert!(started_at.elapsed() < MAX_UPDATE_DELAY, "{:?}", started_at.elapsed());
}

const PARTLY_INVALID_CHANGE: &str =
    "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"b\",\"endpoint\":7},null,\
    {\"uid\":\"a\",\"endpoint\":\"127.0.0.1:7\",\"az\":\"z\",\
    \"model\":\"decode\",\"pod_group\":3,\"state\":\"leaving\",\"capacity_hint\":1.0,\"boot_ms\":0}]}\n";

#[tokio::test]
async fn an_invalid_list_entry_does_not_hide_the_others() {
    let agent = StandIn::start(Behavior::StallsAfter(&[PARTLY_INVALID_CHANGE])).await;
    let (_config_sender, config) = watch::channel(discovery_config(agent.address));
    let mut discovery = discovery_past_known_list(config, 1).await;
    let update = timeout(LATEST, discovery.next()).await.expect("a change in time").unwrap();
    assert_eq!(server_health(&update), [("a", Health::Draining)]);
    assert_eq!(agent.requests.lock().unwrap().len(), 1, "the first watch delivered it");
}

/// Failures at the old agent must not delay the calls to the new one: after a reload by SIGHUP, the time
/// allowed for an update starts again.
#[tokio::test]
async fn failures_at_one_agent_do_not_delay_the_call_to_the_next() {
    let (old, new) =
        (StandIn::start(Behavior::Disconnects).await, StandIn::start(Behavior::StaysSilent).await);
    new.next(Behavior::Disconnects);
    new.next(Behavior::Responds(200, false, "{\"rev\":2,\"all\":true,\"targets\":[]}"));
    let (config_sender, config) = watch::channel(discovery_config(old.address));
    let mut discovery = discovery_past_known_list(config, 3).await;
    let update = tokio::spawn(async move { discovery.next().await.unwrap().kind });
    // The waits have grown by then.
    while old.requests.lock().unwrap().len() < 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let started_at = std::time::Instant::now();
    config_sender.send(discovery_config(new.address)).unwrap();
    assert_eq!(timeout(LATEST, update).await.expect("a list in time").unwrap(), ListUpdateKind::Full);
    assert!(started_at.elapsed() < Duration::from_millis(2_500), "{:?}", started_at.elapsed());
}

/// One line of a watch, split into two pieces.
const FULL_LIST_PARTS: (&str, &str) = FULL_LIST.split_at(13);

#[tokio::test(start_paused = true)]
async fn converted_wall_clock_times_do_not_drift() {
    let clock = Clock::new();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let five_s_ago = clock.from_unix_ms(now - 5_000);
    assert!(clock.now() - five_s_ago >= 4_900_000 && clock.now() - five_s_ago <= 5_100_000);
    tokio::time::advance(Duration::from_secs(30)).await;
    assert_eq!(clock.from_unix_ms(now - 5_000), five_s_ago, "a moved start would look like a restart");
    assert_eq!(clock.from_unix_ms(1), 0, "times before the process's clock started count as zero");
}

#[tokio::test(start_paused = true)]
async fn a_server_that_has_gone_keeps_its_address_for_a_limited_time() {
    let addresses = AddressTable::default();
    let update = |kind, members: &[(&str, Health)]| {
        let entry = |(name, health): &(&str, Health)| ServerEntry {
            server: Id::from(*name),
            rack: 0,
            kind: 0,
            zone: 0,
            started: 0,
            health: *health,
        };
        MembershipUpdate { kind, entries: members.iter().map(entry).collect() }
    };
    for name in ["a", "b", "c"] {
        addresses.set(Id::from(name), ([127, 0, 0, 1], 1).into());
    }
    addresses.apply_update(&update(ListUpdateKind::Changes, &[("a", Health::Gone), ("c", Health::Draining)]));
    addresses.apply_update(&update(ListUpdateKind::Full, &[("c", Health::Up)]));
    let has_address = || ["a", "b", "c"].map(|name| addresses.get(&Id::from(name)).is_some());
    assert_eq!(has_address(), [true; 3], "calls that release a KV cache may still need it");
    tokio::time::advance(Duration::from_secs(31)).await;
    addresses.apply_update(&update(ListUpdateKind::Changes, &[]));
    assert_eq!(has_address(), [false, false, true]);
}

fn resources(version: &str, resources: Value) -> &'static str {
    let answer = json!({"version_info": version, "nonce": version, "resources": resources});
    Box::leak(answer.to_string().into_boxed_str())
}

fn endpoint(port: u16, status: Value) -> Value {
    json!({"endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": port}}},
        "health_status": status})
}

#[tokio::test]
async fn xds_clusters_and_endpoints_become_members() {
    let server = StandIn::start(Behavior::Responds(304, false, "")).await;
    let inline = json!({"clusterName": "decode", "endpoints": [{"locality": {"zone": "z", "subZone": "r1"},
        "lbEndpoints": [{"endpoint": {"hostname": "w-1",
            "address": {"socketAddress": {"address": "127.0.0.1", "portValue": 21}}},
            "metadata": {"filterMetadata": {"frosttrail": {"uid": "w", "cell": 4, "boot_ms": 1}}}}]}]});
    let clusters = json!([
        {"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "prefill-servers",
            "type": "EDS",
            "eds_cluster_config": {"service_name": "pool"},
            "metadata": {"filter_metadata": {"frosttrail": {"kind": "prefill"}}}},
        {"name": "decode", "type": "STATIC", "loadAssignment": inline},
        {"name": "unrelated"}]);
    let assignment = |members: Value| {
        json!([{"cluster_name": "pool",
            "endpoints": [{"locality": {"zone": "z", "sub_zone": "r1"}, "lb_endpoints": members}]}])
    };
    let two_healthy = assignment(json!([endpoint(11, json!("HEALTHY")), endpoint(12, json!(1))]));
    let draining = assignment(json!([endpoint(11, json!("DRAINING")), endpoint(12, json!("UNHEALTHY"))]));
    server.next(Behavior::Responds(200, false, resources("c1", clusters)));
    server.next(Behavior::Responds(200, false, resources("e1", two_healthy)));
    // First no change, then a failure, then a drain.
    server.next(Behavior::Responds(304, false, ""));
    server.next(Behavior::Responds(304, false, ""));
    server.next(Behavior::Responds(500, false, ""));
    server.next(Behavior::Responds(304, false, ""));
    server.next(Behavior::Responds(200, false, resources("e2", draining)));
    let config = XdsConfig { server: server.address, refresh: Duration::from_millis(1) };
    let addresses = Arc::new(AddressTable::default());
    let mut discovery =
        XdsDiscovery::new(config, "n1".into(), names(), Clock::new(), addresses.clone(), log());
    let first = discovery.next().await.unwrap();
    let expected = [("127.0.0.1:11", Health::Up), ("127.0.0.1:12", Health::Up), ("w", Health::Up)];
    assert_eq!((first.kind, server_health(&first)), (ListUpdateKind::Full, expected.to_vec()));
    let kinds: Vec<_> = first.entries.iter().map(|e| e.kind).collect();
    assert_eq!((kinds, first.entries[2].rack), (vec![0, 0, 1], 4));
    assert_eq!(first.entries[0].rack, first.entries[1].rack);
    assert_eq!(addresses.get(&Id::from("w")), Some(([127, 0, 0, 1], 21).into()));
    let second = discovery.next().await.unwrap();
    assert_eq!(
        server_health(&second)[..2],
        [("127.0.0.1:11", Health::Draining), ("127.0.0.1:12", Health::Gone)]
    );
    let requests = server.posts();
    assert_eq!(requests[0].line, "POST /v3/discovery:clusters HTTP/1.1");
    assert_eq!(requests[1].line, "POST /v3/discovery:endpoints HTTP/1.1");
    let body: Value = serde_json::from_str(&requests[3].body).unwrap();
    assert_eq!(
        (&body["version_info"], &body["resource_names"]),
        (&json!("e1"), &json!(["pool", "unrelated"]))
    );
}

fn unix_ms() -> u64 {
    unix_micros() / 1_000
}

/// The wall clock of this machine is an hour behind that of the fleet.
#[tokio::test]
async fn start_times_are_not_in_the_future_and_do_not_change() {
    let boot_ms = unix_ms() + 3_600_000;
    let agent = StandIn::start(Behavior::StaysSilent).await;
    let same_list = json!({"rev": 8, "all": true, "targets": [{"uid": "a", "endpoint": "127.0.0.1:9",
        "az": "z", "model": "decode", "pod_group": 3, "state": "active", "capacity_hint": 1.0,
        "boot_ms": boot_ms}]});
    let same_list: &'static str = Box::leak(format!("{same_list}\n").into_boxed_str());
    agent.next(Behavior::StallsAfter(Box::leak(Box::new([same_list]))));
    let (_config_sender, config) = watch::channel(discovery_config(agent.address));
    let (addresses, backoff, clock) = (Arc::new(AddressTable::default()), Backoff::new(2, 7), Clock::new());
    let known = known_listing("decode", boot_ms);
    let mut discovery = PlatformDiscovery::new(config, known, backoff, names(), clock, addresses, log());
    let first = discovery.next().await.unwrap().entries[0].started;
    assert!(first > 0 && first <= clock.now(), "the server would be in slow start for an hour");
    assert_eq!(
        discovery.next().await.unwrap().entries[0].started,
        first,
        "a repeated list must not look like a restart"
    );
}

/// The wall clock of this machine is an hour ahead, so a start of this moment seems to be an hour ago.
#[tokio::test]
async fn a_new_start_in_a_watch_counts_as_recent() {
    let boot_ms = unix_ms() - 3_600_000;
    let agent = StandIn::start(Behavior::StaysSilent).await;
    let restarted = json!({"rev": 8, "all": false, "targets": [{"uid": "a", "endpoint": "127.0.0.1:9",
        "az": "z", "model": "decode", "pod_group": 3, "state": "active", "capacity_hint": 1.0,
        "boot_ms": boot_ms}]});
    let restarted: &'static str = Box::leak(format!("{restarted}\n").into_boxed_str());
    agent.next(Behavior::StallsAfter(Box::leak(Box::new([FULL_LIST, restarted]))));
    let (_config_sender, config) = watch::channel(discovery_config(agent.address));
    let (addresses, backoff, clock) = (Arc::new(AddressTable::default()), Backoff::new(2, 7), Clock::new());
    let mut discovery =
        PlatformDiscovery::new(config, known_listing("decode", 0), backoff, names(), clock, addresses, log());
    discovery.next().await.unwrap();
    discovery.next().await.unwrap();
    let started = discovery.next().await.unwrap().entries[0].started;
    let age = Duration::from_micros(clock.now() - started);
    assert!(
        age < Duration::from_secs(10),
        "started {age:?} ago: the server would get the load of a warm one"
    );
}

/// New configurations that name the same agent arrive faster than a list can be read.
#[tokio::test]
async fn a_configuration_with_the_same_agent_does_not_cancel_the_call() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    agent.next(Behavior::SendsFromChannel);
    let (config_sender, config) = watch::channel(discovery_config(agent.address));
    let (addresses, backoff) = (Arc::new(AddressTable::default()), Backoff::new(2, 7));
    let mut discovery = PlatformDiscovery::new(
        config,
        known_listing("decode", 0),
        backoff,
        names(),
        Clock::new(),
        addresses,
        log(),
    );
    assert_eq!(discovery.next().await.unwrap().kind, ListUpdateKind::StaleCopy);
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{FULL_LIST}\r\n", FULL_LIST.len());
    let (response_sender, config_sender) = (agent.output.clone(), Arc::new(config_sender));
    tokio::spawn(async move {
        let text = format!("{head}{chunk}");
        for part in text.as_bytes().chunks(8) {
            response_sender.send(String::from_utf8_lossy(part).into_owned()).unwrap();
            tokio::time::sleep(Duration::from_millis(20)).await;
            let same = *config_sender.borrow();
            config_sender.send_replace(same);
        }
    });
    let update = timeout(LATEST, discovery.next()).await.expect("the list is read to its end").unwrap();
    assert_eq!(update.kind, ListUpdateKind::Full);
    assert_eq!(*agent.accepted.lock().unwrap(), 1, "the call was not repeated");
}
