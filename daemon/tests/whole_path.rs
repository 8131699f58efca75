//! The whole path: the conductor sends a request to a reader, then to a writer, which fetches the state over
//! a bad link and answers from its bytes. A spoilt state would show in what the diner reads.

mod support;

use std::time::Duration;

use frosttrail::{Health, ListUpdateKind};
use frosttrail_core::MembershipUpdate;
use frosttrail_standins::link::{Direction, Fault, Link, ScriptedFault};
use frosttrail_standins::split::{kv_cache_of, tokens_from, DecodeServer, PrefillServer};
use frosttrail_transfer::service::Config;
use support::*;
use tokio::time::{sleep, timeout, Instant};

const LENGTH: usize = 400_000;
const LATEST: Duration = Duration::from_secs(20);
const RULE: Duration = Duration::from_secs(1);

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// A conductor, two readers, a writer, and the links over which it fetches.
struct Path {
    site: TestConductor,
    readers: Vec<PrefillServer>,
    writer: DecodeServer,
    links: Vec<Link>,
}

impl Path {
    async fn start(readers: usize) -> Self {
        let config = Config { chunk_bytes: 16 << 10, ..Config::default() };
        let (mut servers, mut links) = (Vec::new(), Vec::new());
        for n in 0..readers {
            let reader =
                PrefillServer::start(config, 10 + n as u64, LENGTH, Duration::from_millis(20), log()).await;
            servers.push(reader.unwrap());
            links.push(Link::start(servers[n].transfer_address).await.unwrap());
        }
        let from = links.iter().map(|l| l.address).collect();
        let writer = DecodeServer::start(config, 1, from, Duration::from_millis(5), log()).await.unwrap();
        let names: Vec<String> = (0..readers).map(|n| format!("reader-{n}")).collect();
        let mut members: Vec<_> =
            names.iter().zip(&servers).map(|(name, b)| (name.as_str(), 0, b.http_address)).collect();
        members.push(("writer", 1, writer.http_address));
        Path { site: TestConductor::start(&members, CLIENT_TIMEOUTS), readers: servers, writer, links }
    }

    async fn ask(&self, class: &str, id: &str, body: &str) -> Answer {
        let text = request(class, id, body);
        timeout(LATEST, exchange(self.site.platform, &text)).await.unwrap()
    }

    /// Nothing is held or moves, at any server, within the rule.
    async fn free_in_time(&self) {
        let begin = Instant::now();
        self.site.conductor.wait_for_releases().await;
        for node in self.readers.iter().map(|r| &r.node).chain([&self.writer.node]) {
            timeout(LATEST, node.wait_until_idle()).await.unwrap();
        }
        assert!(begin.elapsed() <= RULE, "free after {:?}", begin.elapsed());
    }

    fn reads(&self) -> u64 {
        let total = |r: &PrefillServer| r.node.status().total.given + r.node.status().total.freed;
        self.readers.iter().map(total).sum::<u64>()
            + self.readers.iter().map(|r| r.node.status().states as u64).sum::<u64>()
    }
}

fn request(class: &str, id: &str, body: &str) -> String {
    let headers = format!(
        "x-txn: {id}\r\nx-lane: {class}\r\nx-entity: s-1\r\nx-remaining: 4800m\r\n\
         x-labels: prompt_len=5120,max_out=800\r\n"
    );
    post("/v1/chat/completions", &headers, body)
}

/// What a diner reads of an answer, and what it should be.
fn told(answer: &Answer) -> String {
    let tokens = answer.body.split("\"content\":\"").skip(1);
    tokens.filter_map(|t| t.split('"').next()).collect()
}

fn right(body: &str) -> String {
    tokens_from([&kv_cache_of(body.as_bytes(), LENGTH)]).concat()
}

#[tokio::test]
async fn a_diner_reads_what_the_state_says_over_a_good_link_and_a_bad_one() {
    let path = Path::start(2).await;
    let answer = path.ask("book", "t-0", "{\"n\":0}").await;
    assert_eq!((answer.status, answer.whole, told(&answer)), (200, true, right("{\"n\":0}")));
    for link in &path.links {
        let at = |at| ScriptedFault {
            direction: Direction::Downstream,
            offset: at,
            fault: if at % 2 == 0 { Fault::FlipBit } else { Fault::Reset },
        };
        let faults: Vec<ScriptedFault> = (1..20).map(|n| at(n * 30_011 + link.forwarded_bytes().1)).collect();
        link.add_faults(&faults);
    }
    for n in 1..5 {
        let body = format!("{{\"n\":{n}}}");
        let answer = path.ask("book", &format!("t-{n}"), &body).await;
        assert_eq!((answer.status, answer.whole, told(&answer)), (200, true, right(&body)));
    }
    let total = path.writer.node.status().total;
    assert!(total.chunks_bad > 0 && total.cuts > 0, "{total:?}");
    path.free_in_time().await;
}

#[tokio::test]
async fn a_state_that_is_lost_is_read_anew_and_the_book_written_once() {
    let path = Path::start(1).await;
    // Cut in its midst, and no connection for longer than a state is held.
    path.links[0].add_faults(&[ScriptedFault {
        direction: Direction::Downstream,
        offset: 200_000,
        fault: Fault::Reset,
    }]);
    let (answer, ()) = tokio::join!(path.ask("book", "t-1", "{}"), async {
        while path.links[0].forwarded_bytes().1 < 200_000 {
            sleep(Duration::from_millis(1)).await;
        }
        path.links[0].set_unreachable(true);
        sleep(Duration::from_millis(1_300)).await;
        path.links[0].set_unreachable(false);
    });
    assert_eq!((answer.status, answer.whole, told(&answer)), (200, true, right("{}")));
    assert!(path.reads() >= 2, "read anew");
    assert_eq!(path.readers[0].node.status().total.given, 1, "written from one state");
    path.free_in_time().await;
}

#[tokio::test]
async fn a_client_that_goes_in_the_midst_of_the_move_frees_both_ends() {
    let path = Path::start(2).await;
    path.links.iter().for_each(|l| l.set_rate(200_000));
    let client = send(path.site.platform, &request("book", "t-1", "{}")).await;
    let moving = || path.readers.iter().any(|r| r.node.status().sending > 0);
    while !moving() {
        sleep(Duration::from_millis(1)).await;
    }
    drop(client);
    path.free_in_time().await;
    assert_eq!(path.readers.iter().map(|r| r.node.status().total.given).sum::<u64>(), 0);
}

#[tokio::test]
async fn a_reader_that_drains_in_the_midst_of_a_move_costs_a_read_and_no_request() {
    let path = Path::start(2).await;
    path.links.iter().for_each(|l| l.set_rate(200_000));
    let (answer, ()) = tokio::join!(path.ask("ask", "t-1", "{}"), async {
        let sends = |r: &PrefillServer| r.node.status().sending > 0;
        let n = loop {
            if let Some(n) = path.readers.iter().position(sends) {
                break n;
            }
            sleep(Duration::from_millis(1)).await;
        };
        let (reader, name) = (&path.readers[n], format!("reader-{n}"));
        let entries = vec![entry(&name, 0, Health::Draining)];
        path.site.membership.send(MembershipUpdate { kind: ListUpdateKind::Changes, entries }).unwrap();
        // Too short for what is left: it is freed and read at the other.
        reader.node.drain(Duration::from_millis(200));
        reader.node.wait_until_idle().await;
        assert_eq!(reader.node.status().total.freed, 1);
        path.links.iter().for_each(|l| l.set_rate(0));
    });
    assert_eq!((answer.status, answer.whole, told(&answer)), (200, true, right("{}")));
    path.free_in_time().await;
}
