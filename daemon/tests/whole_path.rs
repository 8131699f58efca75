//! The whole path of a request: the conductor sends it to a prefill server, then to a decode server, which
//! fetches the KV cache over a faulty link and computes its answer from the bytes. A corrupted KV cache would
//! show in the tokens that the client receives.

mod support;

use std::time::Duration;

use frosttrail::{Health, ListUpdateKind};
use frosttrail_core::MembershipUpdate;
use frosttrail_standins::link::{Direction, Fault, Link, ScriptedFault};
use frosttrail_standins::split::{kv_cache_of, tokens_from, DecodeServer, PrefillServer};
use frosttrail_transfer::service::Config;
use support::*;
use tokio::time::{sleep, timeout, Instant};

const KV_CACHE_BYTES: usize = 400_000;
/// The longest time to wait for any single step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// KV caches must be released within this time after their request has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// A conductor, prefill servers, a decode server, and the links over which it fetches KV caches.
struct Fleet {
    test_conductor: TestConductor,
    prefill_servers: Vec<PrefillServer>,
    decode_server: DecodeServer,
    links: Vec<Link>,
}

impl Fleet {
    async fn start(prefill_count: usize) -> Self {
        let config = Config { chunk_bytes: 16 << 10, ..Config::default() };
        let (mut prefill_servers, mut links) = (Vec::new(), Vec::new());
        for n in 0..prefill_count {
            let server =
                PrefillServer::start(config, 10 + n as u64, KV_CACHE_BYTES, Duration::from_millis(20), log())
                    .await;
            prefill_servers.push(server.unwrap());
            links.push(Link::start(prefill_servers[n].transfer_address).await.unwrap());
        }
        let sources = links.iter().map(|link| link.address).collect();
        let decode_server =
            DecodeServer::start(config, 1, sources, Duration::from_millis(5), log()).await.unwrap();
        let names: Vec<String> = (0..prefill_count).map(|n| format!("reader-{n}")).collect();
        let mut members: Vec<_> = names
            .iter()
            .zip(&prefill_servers)
            .map(|(name, server)| (name.as_str(), 0, server.http_address))
            .collect();
        members.push(("writer", 1, decode_server.http_address));
        Fleet {
            test_conductor: TestConductor::start(&members, CLIENT_TIMEOUTS),
            prefill_servers,
            decode_server,
            links,
        }
    }

    /// Sends a request and reads its answer.
    async fn exchange(&self, class: &str, id: &str, body: &str) -> Answer {
        let text = request(class, id, body);
        timeout(STEP_TIMEOUT, exchange(self.test_conductor.platform, &text)).await.unwrap()
    }

    /// Waits until no server holds or transfers a KV cache, and checks that this takes no longer than
    /// `RELEASE_TIMEOUT`.
    async fn expect_release_in_time(&self) {
        let begin = Instant::now();
        self.test_conductor.conductor.wait_for_releases().await;
        for node in self.prefill_servers.iter().map(|server| &server.node).chain([&self.decode_server.node]) {
            timeout(STEP_TIMEOUT, node.wait_until_idle()).await.unwrap();
        }
        assert!(
            begin.elapsed() <= RELEASE_TIMEOUT,
            "the KV caches were released after {:?}",
            begin.elapsed()
        );
    }

    /// The number of KV caches that were computed.
    fn prefill_count(&self) -> u64 {
        let ended =
            |server: &PrefillServer| server.node.status().total.given + server.node.status().total.freed;
        self.prefill_servers.iter().map(ended).sum::<u64>()
            + self.prefill_servers.iter().map(|server| server.node.status().states as u64).sum::<u64>()
    }
}

/// A request to the platform front.
fn request(class: &str, id: &str, body: &str) -> String {
    let headers = format!(
        "x-txn: {id}\r\nx-lane: {class}\r\nx-entity: s-1\r\nx-remaining: 4800m\r\n\
         x-labels: prompt_len=5120,max_out=800\r\n"
    );
    post("/v1/chat/completions", &headers, body)
}

/// The text of an answer's tokens.
fn answer_text(answer: &Answer) -> String {
    let tokens = answer.body.split("\"content\":\"").skip(1);
    tokens.filter_map(|token| token.split('"').next()).collect()
}

/// The text that a request with this body must be answered with.
fn expected_text(body: &str) -> String {
    tokens_from([&kv_cache_of(body.as_bytes(), KV_CACHE_BYTES)]).concat()
}

#[tokio::test]
async fn answers_match_the_kv_cache_over_a_good_link_and_a_faulty_one() {
    let fleet = Fleet::start(2).await;
    let answer = fleet.exchange("book", "t-0", "{\"n\":0}").await;
    assert_eq!((answer.status, answer.whole, answer_text(&answer)), (200, true, expected_text("{\"n\":0}")));
    for link in &fleet.links {
        let fault_at = |offset| ScriptedFault {
            direction: Direction::Downstream,
            offset,
            fault: if offset % 2 == 0 { Fault::FlipBit } else { Fault::Reset },
        };
        let faults: Vec<ScriptedFault> =
            (1..20).map(|n| fault_at(n * 30_011 + link.forwarded_bytes().1)).collect();
        link.add_faults(&faults);
    }
    for n in 1..5 {
        let body = format!("{{\"n\":{n}}}");
        let answer = fleet.exchange("book", &format!("t-{n}"), &body).await;
        assert_eq!((answer.status, answer.whole, answer_text(&answer)), (200, true, expected_text(&body)));
    }
    let total = fleet.decode_server.node.status().total;
    assert!(total.chunks_bad > 0 && total.cuts > 0, "{total:?}");
    fleet.expect_release_in_time().await;
}

#[tokio::test]
async fn a_lost_kv_cache_is_prefilled_again_and_the_book_runs_once() {
    let fleet = Fleet::start(1).await;
    // The link breaks halfway through the transfer and stays down for longer than a KV cache is held.
    fleet.links[0].add_faults(&[ScriptedFault {
        direction: Direction::Downstream,
        offset: 200_000,
        fault: Fault::Reset,
    }]);
    let (answer, ()) = tokio::join!(fleet.exchange("book", "t-1", "{}"), async {
        while fleet.links[0].forwarded_bytes().1 < 200_000 {
            sleep(Duration::from_millis(1)).await;
        }
        fleet.links[0].set_unreachable(true);
        sleep(Duration::from_millis(1_300)).await;
        fleet.links[0].set_unreachable(false);
    });
    assert_eq!((answer.status, answer.whole, answer_text(&answer)), (200, true, expected_text("{}")));
    assert!(fleet.prefill_count() >= 2, "the request was not prefilled again");
    assert_eq!(
        fleet.prefill_servers[0].node.status().total.given,
        1,
        "not exactly one KV cache was handed over"
    );
    fleet.expect_release_in_time().await;
}

#[tokio::test]
async fn a_client_that_disconnects_during_the_transfer_frees_both_servers() {
    let fleet = Fleet::start(2).await;
    fleet.links.iter().for_each(|link| link.set_rate(200_000));
    let client = send(fleet.test_conductor.platform, &request("book", "t-1", "{}")).await;
    let is_transferring = || fleet.prefill_servers.iter().any(|server| server.node.status().sending > 0);
    while !is_transferring() {
        sleep(Duration::from_millis(1)).await;
    }
    drop(client);
    fleet.expect_release_in_time().await;
    assert_eq!(fleet.prefill_servers.iter().map(|server| server.node.status().total.given).sum::<u64>(), 0);
}

#[tokio::test]
async fn a_prefill_server_that_drains_during_a_transfer_costs_a_prefill_and_no_request() {
    let fleet = Fleet::start(2).await;
    fleet.links.iter().for_each(|link| link.set_rate(200_000));
    let (answer, ()) = tokio::join!(fleet.exchange("ask", "t-1", "{}"), async {
        let is_sending = |server: &PrefillServer| server.node.status().sending > 0;
        let sender = loop {
            if let Some(sender) = fleet.prefill_servers.iter().position(is_sending) {
                break sender;
            }
            sleep(Duration::from_millis(1)).await;
        };
        let (server, name) = (&fleet.prefill_servers[sender], format!("reader-{sender}"));
        let entries = vec![entry(&name, 0, Health::Draining)];
        fleet
            .test_conductor
            .membership
            .send(MembershipUpdate { kind: ListUpdateKind::Changes, entries })
            .unwrap();
        // Too short for the rest of the transfer: the KV cache is freed, and the other server prefills again.
        server.node.drain(Duration::from_millis(200));
        server.node.wait_until_idle().await;
        assert_eq!(server.node.status().total.freed, 1);
        fleet.links.iter().for_each(|link| link.set_rate(0));
    });
    assert_eq!((answer.status, answer.whole, answer_text(&answer)), (200, true, expected_text("{}")));
    fleet.expect_release_in_time().await;
}
