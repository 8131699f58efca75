//! Clients that send many commands at once on one connection (`pipeline`), while the first answer streams
//! for some seconds. Every request that was taken and sent on has to get its final answer.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::spawn;
use std::time::{Duration, Instant};

use review_standins::agent::{Agent, Entry};
use review_standins::client::{request, Answer, Client};
use review_standins::conductor::Conductor;
use review_standins::record::Record;
use review_standins::{finish, has_trouble, server, settings};

/// Connections, each of another client.
const CLIENTS: usize = 24;
/// Commands that a client sends at once.
const COMMANDS: usize = 16;
/// What the client of a `quote-issue` waits.
const REMAINING_MS: u64 = 6_000;
/// Events of the answer to each client's first command, one every 70 ms: 4 s. The other answers are short.
const FIRST_EVENTS: u32 = 58;

fn start_server(
    name: &'static str,
    record: &Record,
    sent_on: &Arc<Mutex<BTreeSet<String>>>,
    is_prefill: bool,
) -> std::io::Result<std::net::SocketAddr> {
    let sent_on = sent_on.clone();
    server::start(
        name,
        record,
        Arc::new(move |attempt| {
            sent_on.lock().unwrap_or_else(PoisonError::into_inner).insert(attempt.id.clone());
            if is_prefill {
                return attempt.prefill(Duration::from_millis(40));
            }
            let is_first = attempt.id.ends_with("-00");
            let (events, interval) = if is_first { (FIRST_EVENTS, 70) } else { (3, 10) };
            attempt.stream(Duration::from_millis(20), events, Duration::from_millis(interval), "quote")
        }),
    )
}

/// One client's commands; returns the ids that were sent, with their answers.
fn run_client(n: usize, to: std::net::SocketAddr, at_once: bool, record: &Record) -> Vec<(String, Answer)> {
    let ids: Vec<String> = (0..COMMANDS).map(|command| format!("c{n}-{command:02}")).collect();
    let texts: Vec<Vec<u8>> =
        ids.iter().map(|id| request(id, "quote-issue", &format!("s{n}"), REMAINING_MS, 40 + 7 * n)).collect();
    let mut answers = Vec::new();
    let Ok(mut client) = Client::connect(to) else { return answers };
    if at_once {
        record.line(&format!("client {n}: sends {COMMANDS} commands at once, {}", ids.join(" ")));
        if client.send(&texts.concat()).is_err() {
            return answers;
        }
    }
    for (id, text) in ids.iter().zip(&texts) {
        if !at_once {
            record.line(&format!("client {n}: sends {id}"));
            if client.send(text).is_err() {
                return answers;
            }
        }
        let answer = client.answer(Duration::from_millis(REMAINING_MS + 500));
        record.line(&format!("client {n}: {id}: {}", answer.summary()));
        let has_ended = !matches!(answer, Answer::Status(_) | Answer::Whole(_));
        answers.push((id.clone(), answer));
        if has_ended {
            break;
        }
    }
    answers
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let sent_on = Arc::new(Mutex::new(BTreeSet::new()));
    let mut entries = Vec::new();
    for (name, model) in [("i1", "intake"), ("i2", "intake"), ("a1", "reply-a"), ("b1", "reply-b")] {
        let endpoint =
            start_server(name, record, &sent_on, model == "intake").map_err(|e| format!("{name}: {e}"))?;
        let (uid, model, zone) = (name.to_string(), model.to_string(), "galway-1".to_string());
        entries.push(Entry { uid, endpoint, zone, model, rack: 1, state: "active", boot_ms: 0 });
    }
    let agent = Agent::start(entries).map_err(|e| e.to_string())?;
    let mut conductor = Conductor::start(
        "n1",
        &agent,
        r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#,
        &settings::quotes(2),
    )
    .map_err(|e| e.to_string())?;
    record.line(&format!("the conductor is ready at {}", conductor.listen));
    let (to, at_once, begin) = (conductor.listen, has_trouble(), Instant::now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            spawn(move || run_client(n, to, at_once, &record))
        })
        .collect();
    let mut broken = Vec::new();
    let mut answered = 0;
    for client in clients {
        let answers = client.join().map_err(|_| "a client panicked")?;
        if answers.is_empty() {
            return Err("a client could not send".into());
        }
        for (id, answer) in answers {
            let is_sent_on = sent_on.lock().unwrap_or_else(PoisonError::into_inner).contains(&id);
            match answer {
                Answer::Status(_) | Answer::Whole(_) => answered += 1,
                // Not read yet: its client sends it once more on a new connection.
                _ if !is_sent_on => {}
                _ => broken.push(format!("{id} was taken and sent on: {}", answer.summary())),
            }
        }
    }
    record.line(&format!("{answered} requests answered after {:?}", begin.elapsed()));
    match conductor.end().map_err(|e| e.to_string())? {
        Some(status) => Err(format!("the conductor has ended: {status}: {}", conductor.log())),
        None => Ok(broken),
    }
}

fn main() {
    let record = Record::create().expect("the record");
    let verdict = run(&record);
    finish(&record, verdict)
}
