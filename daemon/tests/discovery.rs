//! Where members come from, against stand-in servers on loopback.

mod support;

use std::sync::Arc;
use std::time::Duration;

use frosttrail::setup::ConfiguredNames;
use frosttrail::{Health, Id, ListUpdateKind, ServerEntry};
use frosttrail_core::{Clock, MembershipSource, MembershipUpdate};
use frosttrail_daemon::config::XdsConfig;
use frosttrail_daemon::discovery::backoff::TOLD;
use frosttrail_daemon::discovery::{Backoff, Discovery, DiscoveryConfig, Listing, Xds};
use frosttrail_daemon::upstream::AddressTable;
use serde_json::{json, Value};
use support::*;
use tokio::sync::watch;
use tokio::time::timeout;

/// Longer than anything here should take.
const LATEST: Duration = Duration::from_secs(20);

const EMPTY: &str = "\n";
const LEAVES: &str =
    "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"127.0.0.1:7\",\"az\":\"z\",\
    \"model\":\"decode\",\"pod_group\":3,\"state\":\"leaving\",\"capacity_hint\":1.0,\"boot_ms\":0}]}\n";
const WHOLE_LIST: &str = "{\"rev\":9,\"all\":true,\"targets\":[]}\n";
const HALF: &str = "{\"rev\":10,\"all\":true,";

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn names() -> ConfiguredNames {
    ConfiguredNames::new(&setup()).unwrap()
}

fn known(kind: &str, boot_ms: u64) -> Listing {
    let target = |uid: &str, model: &str| {
        json!({"uid": uid, "endpoint": "127.0.0.1:9", "az": "z", "model": model, "pod_group": 3,
            "state": "active", "capacity_hint": 1.0, "boot_ms": boot_ms})
    };
    let listing =
        json!({"rev": 7, "all": true, "targets": [target("a", kind), target("b", "of the future")]});
    serde_json::from_value(listing).unwrap()
}

fn states(news: &MembershipUpdate) -> Vec<(&str, Health)> {
    news.entries.iter().map(|e| (&*e.server, e.health)).collect()
}

/// What a configuration says of an agent, in a fleet of two.
fn told_agent(agent: std::net::SocketAddr) -> DiscoveryConfig {
    DiscoveryConfig { agent, conductors: 2 }
}

#[tokio::test]
async fn the_watch_goes_on_from_the_version_held() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    // The first watch brings a change and ends; the second a line that can't be read; the third a list.
    agent.next(Behavior::BreaksAfter(&[EMPTY, LEAVES, EMPTY]));
    agent.next(Behavior::Streams(&[HALF, "\n"]));
    agent.next(Behavior::StallsAfter(&[WHOLE_LIST_PARTS.0, WHOLE_LIST_PARTS.1]));
    let book = Arc::new(AddressTable::default());
    let (_address, at) = watch::channel(told_agent(agent.address));
    let mut list = Discovery::new(
        at,
        known("decode", 0),
        Backoff::new(2, 7),
        names(),
        Clock::new(),
        book.clone(),
        log(),
    );
    let first = list.next().await.unwrap();
    assert_eq!((first.kind, states(&first)), (ListUpdateKind::StaleCopy, vec![("a", Health::Up)]));
    assert_eq!((first.entries[0].kind, first.entries[0].rack, first.entries[0].started), (1, 3, 0));
    let second = list.next().await.unwrap();
    assert_eq!((second.kind, states(&second)), (ListUpdateKind::Changes, vec![("a", Health::Draining)]));
    assert_eq!(book.get(&Id::from("a")), Some(([127, 0, 0, 1], 7).into()), "its address has moved");
    let third = list.next().await.unwrap();
    assert_eq!((third.kind, third.entries.len()), (ListUpdateKind::Full, 0));
    let watched = |rev: u32| format!("GET /catalog/members?stream=1&index={rev} HTTP/1.1");
    let lines: Vec<String> = agent.requests.lock().unwrap().iter().map(|g| g.line.clone()).collect();
    assert_eq!(lines, [watched(7), watched(8), watched(8)]);
}

#[tokio::test]
async fn the_watch_moves_at_once_and_starts_afresh() {
    let (mut old, new) =
        (StandIn::start(Behavior::StaysSilent).await, StandIn::start(Behavior::StaysSilent).await);
    // The new agent counts its versions from elsewhere; asked for changes since 8, it might never answer.
    new.next(Behavior::Responds(200, false, "{\"rev\":2,\"all\":true,\"targets\":[]}"));
    new.next(Behavior::StallsAfter(&[LEAVES]));
    old.next(Behavior::StallsAfter(&[LEAVES]));
    let (address, at) = watch::channel(told_agent(old.address));
    let book = Arc::new(AddressTable::default());
    let mut list =
        Discovery::new(at, known("decode", 0), Backoff::new(2, 7), names(), Clock::new(), book, log());
    let mut forms = vec![list.next().await.unwrap().kind, list.next().await.unwrap().kind];
    address.send(told_agent(new.address)).unwrap();
    forms.extend([list.next().await.unwrap().kind, list.next().await.unwrap().kind]);
    assert_eq!(
        forms,
        [ListUpdateKind::StaleCopy, ListUpdateKind::Changes, ListUpdateKind::Full, ListUpdateKind::Changes]
    );
    old.aborts.recv().await.unwrap();
    let lines: Vec<String> = new.requests.lock().unwrap().iter().map(|g| g.line.clone()).collect();
    let paths = ["/catalog/members", "/catalog/members?stream=1&index=2"];
    assert_eq!(lines, paths.map(|path| format!("GET {path} HTTP/1.1")));
}

const INDENTED: &str = "{\n  \"rev\": 9,\n\n  \"all\": true,\n  \"targets\": []\n}\n";
const INDENTED_PARTS: (&str, &str) = INDENTED.split_at(21);

#[tokio::test]
async fn lists_may_come_indented_whole_and_in_a_watch() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    agent.next(Behavior::StallsAfter(&[EMPTY, INDENTED_PARTS.0, INDENTED_PARTS.1, EMPTY, LEAVES]));
    let moved = StandIn::start(Behavior::StaysSilent).await;
    moved.next(Behavior::Responds(200, false, INDENTED));
    let (address, at) = watch::channel(told_agent(agent.address));
    let (book, backoff) = (Arc::new(AddressTable::default()), Backoff::new(2, 7));
    let mut list = Discovery::new(at, known("decode", 0), backoff, names(), Clock::new(), book, log());
    let mut forms = Vec::new();
    for _ in 0..3 {
        forms.push(timeout(LATEST, list.next()).await.expect("a list in time").unwrap().kind);
    }
    assert_eq!(forms, [ListUpdateKind::StaleCopy, ListUpdateKind::Full, ListUpdateKind::Changes]);
    address.send(told_agent(moved.address)).unwrap();
    let whole = timeout(LATEST, list.next()).await.expect("a list in time").unwrap();
    assert_eq!((whole.kind, whole.entries.len()), (ListUpdateKind::Full, 0));
    assert_eq!(agent.posts().len() + agent.requests.lock().unwrap().len(), 1, "one watch has brought all");
}

#[tokio::test]
async fn a_watch_that_falls_silent_is_opened_anew_before_what_it_missed_counts_as_told() {
    let mut watches = tokio::task::JoinSet::new();
    for seed in 0..8 {
        watches.spawn(async move {
            let agent = StandIn::start(Behavior::StaysSilent).await;
            agent.next(Behavior::StallsAfter(&[EMPTY]));
            agent.next(Behavior::StallsAfter(&[LEAVES]));
            let (_address, at) = watch::channel(told_agent(agent.address));
            // As in a fleet of 300, where waits between calls are longest.
            let (book, backoff) = (Arc::new(AddressTable::default()), Backoff::new(300, seed));
            let mut list =
                Discovery::new(at, known("decode", 0), backoff, names(), Clock::new(), book, log());
            list.next().await.unwrap();
            let begin = std::time::Instant::now();
            let missed = timeout(LATEST, list.next()).await.expect("a change in time").unwrap();
            assert_eq!(states(&missed), [("a", Health::Draining)]);
            begin.elapsed()
        });
    }
    let took = watches.join_all().await;
    assert!(took.iter().all(|t| *t <= Duration::from_secs(6)), "{took:?}");
}

/// A list that waits for news of this agent, as one of a fleet of 300, past what it was started with.
async fn started(at: watch::Receiver<DiscoveryConfig>, seed: u64) -> Discovery {
    let (book, backoff) = (Arc::new(AddressTable::default()), Backoff::new(300, seed));
    let mut list = Discovery::new(at, known("decode", 0), backoff, names(), Clock::new(), book, log());
    list.next().await.unwrap();
    list
}

#[tokio::test]
async fn a_call_that_hangs_is_given_up_and_the_next_brings_what_counts_as_told() {
    let mut lists = tokio::task::JoinSet::new();
    for seed in 0..8 {
        lists.spawn(async move {
            // It takes the connection and says nothing; or a head, of which nothing more comes.
            let agent = StandIn::start(Behavior::StaysSilent).await;
            agent.next(
                [Behavior::StaysSilent, Behavior::SendsRaw("HTTP/1.1 200 OK\r\ncontent-")][seed as usize % 2]
                    .clone(),
            );
            agent.next(Behavior::StallsAfter(&[LEAVES]));
            let (_address, at) = watch::channel(told_agent(agent.address));
            let mut list = started(at, seed).await;
            let begin = std::time::Instant::now();
            let missed = timeout(LATEST, list.next()).await.expect("a change in time").unwrap();
            assert_eq!(states(&missed), [("a", Health::Draining)]);
            begin.elapsed()
        });
    }
    let took = lists.join_all().await;
    assert!(took.iter().all(|t| *t < TOLD), "{took:?}");
}

#[tokio::test]
async fn a_watch_whose_list_does_not_end_is_silent_whatever_follows() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    agent.next(Behavior::SendsNewlines("HTTP/1.1 200 OK\r\n\r\n{\"rev\":8,\"all\":false,\n"));
    agent.next(Behavior::StallsAfter(&[LEAVES]));
    let (_address, at) = watch::channel(told_agent(agent.address));
    let mut list = started(at, 5).await;
    let begin = std::time::Instant::now();
    let missed = timeout(LATEST, list.next()).await.expect("a change in time").unwrap();
    assert_eq!(states(&missed), [("a", Health::Draining)]);
    assert!(begin.elapsed() < TOLD, "{:?}", begin.elapsed());
}

const PARTLY: &str = "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"b\",\"endpoint\":7},null,\
    {\"uid\":\"a\",\"endpoint\":\"127.0.0.1:7\",\"az\":\"z\",\
    \"model\":\"decode\",\"pod_group\":3,\"state\":\"leaving\",\"capacity_hint\":1.0,\"boot_ms\":0}]}\n";

#[tokio::test]
async fn a_line_that_cant_be_read_does_not_keep_the_others_from_being_heard() {
    let agent = StandIn::start(Behavior::StallsAfter(&[PARTLY])).await;
    let (_address, at) = watch::channel(told_agent(agent.address));
    let mut list = started(at, 1).await;
    let news = timeout(LATEST, list.next()).await.expect("a change in time").unwrap();
    assert_eq!(states(&news), [("a", Health::Draining)]);
    assert_eq!(agent.requests.lock().unwrap().len(), 1, "by the first watch");
}

/// What went wrong at the old agent must not make the new one wait: after SIGHUP, time runs anew.
#[tokio::test]
async fn failures_at_one_agent_do_not_hold_back_the_call_to_the_next() {
    let (old, new) =
        (StandIn::start(Behavior::Disconnects).await, StandIn::start(Behavior::StaysSilent).await);
    new.next(Behavior::Disconnects);
    new.next(Behavior::Responds(200, false, "{\"rev\":2,\"all\":true,\"targets\":[]}"));
    let (address, at) = watch::channel(told_agent(old.address));
    let mut list = started(at, 3).await;
    let moved = tokio::spawn(async move { list.next().await.unwrap().kind });
    // By then its waits have grown.
    while old.requests.lock().unwrap().len() < 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let begin = std::time::Instant::now();
    address.send(told_agent(new.address)).unwrap();
    assert_eq!(timeout(LATEST, moved).await.expect("a list in time").unwrap(), ListUpdateKind::Full);
    assert!(begin.elapsed() < Duration::from_millis(2_500), "{:?}", begin.elapsed());
}

/// A line may come in pieces.
const WHOLE_LIST_PARTS: (&str, &str) = WHOLE_LIST.split_at(13);

#[tokio::test(start_paused = true)]
async fn a_start_on_the_wall_clock_stays_where_it_is() {
    let clock = Clock::new();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let five_s_ago = clock.from_unix_ms(now - 5_000);
    assert!(clock.now() - five_s_ago >= 4_900_000 && clock.now() - five_s_ago <= 5_100_000);
    tokio::time::advance(Duration::from_secs(30)).await;
    assert_eq!(clock.from_unix_ms(now - 5_000), five_s_ago, "else each list would look like a restart");
    assert_eq!(clock.from_unix_ms(1), 0, "long ago");
}

#[tokio::test(start_paused = true)]
async fn a_box_that_has_gone_keeps_its_address_for_a_while_only() {
    let book = AddressTable::default();
    let news = |form, members: &[(&str, Health)]| {
        let entry = |(name, health): &(&str, Health)| ServerEntry {
            server: Id::from(*name),
            rack: 0,
            kind: 0,
            zone: 0,
            started: 0,
            health: *health,
        };
        MembershipUpdate { kind: form, entries: members.iter().map(entry).collect() }
    };
    for name in ["a", "b", "c"] {
        book.set(Id::from(name), ([127, 0, 0, 1], 1).into());
    }
    book.follow(&news(ListUpdateKind::Changes, &[("a", Health::Gone), ("c", Health::Draining)]));
    book.follow(&news(ListUpdateKind::Full, &[("c", Health::Up)]));
    let held = || ["a", "b", "c"].map(|name| book.get(&Id::from(name)).is_some());
    assert_eq!(held(), [true; 3], "calls that let go of state may still want it");
    tokio::time::advance(Duration::from_secs(31)).await;
    book.follow(&news(ListUpdateKind::Changes, &[]));
    assert_eq!(held(), [false, false, true]);
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
async fn clusters_and_endpoints_become_members_and_draining_drains() {
    let server = StandIn::start(Behavior::Responds(304, false, "")).await;
    let inline = json!({"clusterName": "decode", "endpoints": [{"locality": {"zone": "z", "subZone": "r1"},
        "lbEndpoints": [{"endpoint": {"hostname": "w-1",
            "address": {"socketAddress": {"address": "127.0.0.1", "portValue": 21}}},
            "metadata": {"filterMetadata": {"frosttrail": {"uid": "w", "cell": 4, "boot_ms": 1}}}}]}]});
    let clusters = json!([
        {"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "readers", "type": "EDS",
            "eds_cluster_config": {"service_name": "pool"},
            "metadata": {"filter_metadata": {"frosttrail": {"kind": "prefill"}}}},
        {"name": "decode", "type": "STATIC", "loadAssignment": inline},
        {"name": "unrelated"}]);
    let pool = |members: Value| {
        json!([{"cluster_name": "pool",
            "endpoints": [{"locality": {"zone": "z", "sub_zone": "r1"}, "lb_endpoints": members}]}])
    };
    let two = pool(json!([endpoint(11, json!("HEALTHY")), endpoint(12, json!(1))]));
    let drains = pool(json!([endpoint(11, json!("DRAINING")), endpoint(12, json!("UNHEALTHY"))]));
    server.next(Behavior::Responds(200, false, resources("c1", clusters)));
    server.next(Behavior::Responds(200, false, resources("e1", two)));
    // Nothing new; then a failure; then a drain.
    server.next(Behavior::Responds(304, false, ""));
    server.next(Behavior::Responds(304, false, ""));
    server.next(Behavior::Responds(500, false, ""));
    server.next(Behavior::Responds(304, false, ""));
    server.next(Behavior::Responds(200, false, resources("e2", drains)));
    let config = XdsConfig { server: server.address, refresh: Duration::from_millis(1) };
    let book = Arc::new(AddressTable::default());
    let mut list = Xds::new(config, "n1".into(), names(), Clock::new(), book.clone(), log());
    let first = list.next().await.unwrap();
    let up = [("127.0.0.1:11", Health::Up), ("127.0.0.1:12", Health::Up), ("w", Health::Up)];
    assert_eq!((first.kind, states(&first)), (ListUpdateKind::Full, up.to_vec()));
    let kinds: Vec<_> = first.entries.iter().map(|e| e.kind).collect();
    assert_eq!((kinds, first.entries[2].rack), (vec![0, 0, 1], 4));
    assert_eq!(first.entries[0].rack, first.entries[1].rack);
    assert_eq!(book.get(&Id::from("w")), Some(([127, 0, 0, 1], 21).into()));
    let second = list.next().await.unwrap();
    assert_eq!(states(&second)[..2], [("127.0.0.1:11", Health::Draining), ("127.0.0.1:12", Health::Gone)]);
    let asked = server.posts();
    assert_eq!(asked[0].line, "POST /v3/discovery:clusters HTTP/1.1");
    assert_eq!(asked[1].line, "POST /v3/discovery:endpoints HTTP/1.1");
    let body: Value = serde_json::from_str(&asked[3].body).unwrap();
    assert_eq!(
        (&body["version_info"], &body["resource_names"]),
        (&json!("e1"), &json!(["pool", "unrelated"]))
    );
}

fn unix_ms() -> u64 {
    unix_micros() / 1_000
}

/// The wall clock of this machine is an hour behind the fleet's, or the fleet's an hour ahead of it.
#[tokio::test]
async fn no_start_lies_in_the_future_and_a_list_told_again_moves_none() {
    let boot_ms = unix_ms() + 3_600_000;
    let agent = StandIn::start(Behavior::StaysSilent).await;
    let again = json!({"rev": 8, "all": true, "targets": [{"uid": "a", "endpoint": "127.0.0.1:9", "az": "z",
        "model": "decode", "pod_group": 3, "state": "active", "capacity_hint": 1.0, "boot_ms": boot_ms}]});
    let again: &'static str = Box::leak(format!("{again}\n").into_boxed_str());
    agent.next(Behavior::StallsAfter(Box::leak(Box::new([again]))));
    let (_address, at) = watch::channel(told_agent(agent.address));
    let (book, backoff, clock) = (Arc::new(AddressTable::default()), Backoff::new(2, 7), Clock::new());
    let known = known("decode", boot_ms);
    let mut list = Discovery::new(at, known, backoff, names(), clock, book, log());
    let first = list.next().await.unwrap().entries[0].started;
    assert!(first > 0 && first <= clock.now(), "in slow start for an hour");
    assert_eq!(list.next().await.unwrap().entries[0].started, first, "it looks like a restart");
}

/// The wall clock of this machine is an hour ahead: what starts now seems to have started an hour ago.
#[tokio::test]
async fn a_start_that_is_news_in_a_watch_is_not_long_ago() {
    let boot_ms = unix_ms() - 3_600_000;
    let agent = StandIn::start(Behavior::StaysSilent).await;
    let restarted = json!({"rev": 8, "all": false, "targets": [{"uid": "a", "endpoint": "127.0.0.1:9",
        "az": "z", "model": "decode", "pod_group": 3, "state": "active", "capacity_hint": 1.0,
        "boot_ms": boot_ms}]});
    let restarted: &'static str = Box::leak(format!("{restarted}\n").into_boxed_str());
    agent.next(Behavior::StallsAfter(Box::leak(Box::new([WHOLE_LIST, restarted]))));
    let (_address, at) = watch::channel(told_agent(agent.address));
    let (book, backoff, clock) = (Arc::new(AddressTable::default()), Backoff::new(2, 7), Clock::new());
    let mut list = Discovery::new(at, known("decode", 0), backoff, names(), clock, book, log());
    list.next().await.unwrap();
    list.next().await.unwrap();
    let started = list.next().await.unwrap().entries[0].started;
    let ago = Duration::from_micros(clock.now() - started);
    assert!(ago < Duration::from_secs(10), "started {ago:?} ago: it would get the load of a warm server");
}

/// New configurations come quicker than a list, and name the same agent.
#[tokio::test]
async fn a_configuration_that_names_the_same_agent_does_not_drop_the_call_under_way() {
    let agent = StandIn::start(Behavior::StaysSilent).await;
    agent.next(Behavior::SendsFromChannel);
    let (configured, at) = watch::channel(told_agent(agent.address));
    let (book, backoff) = (Arc::new(AddressTable::default()), Backoff::new(2, 7));
    let mut list = Discovery::new(at, known("decode", 0), backoff, names(), Clock::new(), book, log());
    assert_eq!(list.next().await.unwrap().kind, ListUpdateKind::StaleCopy);
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{WHOLE_LIST}\r\n", WHOLE_LIST.len());
    let (told, configured) = (agent.output.clone(), Arc::new(configured));
    tokio::spawn(async move {
        let text = format!("{head}{chunk}");
        for part in text.as_bytes().chunks(8) {
            told.send(String::from_utf8_lossy(part).into_owned()).unwrap();
            tokio::time::sleep(Duration::from_millis(20)).await;
            let same = *configured.borrow();
            configured.send_replace(same);
        }
    });
    let next = timeout(LATEST, list.next()).await.expect("no list is ever read to its end").unwrap();
    assert_eq!(next.kind, ListUpdateKind::Full);
    assert_eq!(*agent.accepted.lock().unwrap(), 1, "the call was made anew");
}
