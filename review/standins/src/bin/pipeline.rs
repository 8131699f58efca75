//! Clients that send many commands at once on one connection (`pipeline`). The first is a `book` with a long
//! prompt, whose first token comes within its aim, the others are short. Every request that was taken and sent
//! on has to get its final answer.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::spawn;
use std::time::{Duration, Instant};

use review_standins::agent::{Agent, Entry};
use review_standins::client::{request, Answer, Client};
use review_standins::conductor::Conductor;
use review_standins::record::Record;
use review_standins::{finish, has_trouble, server, settings};

const PREFILL_SERVERS: usize = 6;
const DECODE_SERVERS: usize = 5;
/// Connections, each of another client.
const CLIENTS: usize = 6;
/// Commands that a client sends at once.
const COMMANDS: usize = 60;
/// What the client of a `book` waits.
const REMAINING_MS: u64 = 15_000;
/// Tokens of the prompts: of each client's first command, and of the others.
const LONG_PROMPT: usize = 8_000;
const SHORT_PROMPT: usize = 40;
/// What a prefill server reads.
const PROMPT_TOKENS_PER_S: f64 = 18_000.0;
/// How long a long prompt's state waits for a slot and is fetched, until the first token. With the prefill the
/// first token comes after about 2.5 s; the class wants it within 3.3 s.
const LONG_WAIT: Duration = Duration::from_millis(2_050);

/// The ids that have reached a server.
type SentOn = Arc<Mutex<BTreeSet<String>>>;

fn is_first(id: &str) -> bool {
    id.ends_with("-00")
}

fn start_servers(record: &Record, sent_on: &SentOn) -> std::io::Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for n in 0..PREFILL_SERVERS + DECODE_SERVERS {
        let is_prefill = n < PREFILL_SERVERS;
        let (model, name) =
            if is_prefill { ("prefill", format!("p{n}")) } else { ("decode", format!("d{n}")) };
        let sent_on = sent_on.clone();
        let endpoint = server::start(
            &name,
            record,
            Arc::new(move |attempt| {
                sent_on.lock().unwrap_or_else(PoisonError::into_inner).insert(attempt.id.clone());
                let tokens = if is_first(&attempt.id) { LONG_PROMPT } else { SHORT_PROMPT };
                if is_prefill {
                    return attempt.prefill(Duration::from_secs_f64(tokens as f64 / PROMPT_TOKENS_PER_S));
                }
                let first = if is_first(&attempt.id) { LONG_WAIT } else { Duration::from_millis(20) };
                attempt.stream(first, 3, Duration::from_millis(10), "booked")
            }),
        )?;
        let (uid, model, zone) = (name, model.to_string(), "bangna".to_string());
        entries.push(Entry { uid, endpoint, zone, model, rack: 1, state: "active", boot_ms: 0 });
    }
    Ok(entries)
}

/// One client's commands; returns the ids that were sent, with their answers.
fn run_client(n: usize, to: std::net::SocketAddr, at_once: bool, record: &Record) -> Vec<(String, Answer)> {
    let ids: Vec<String> = (0..COMMANDS).map(|command| format!("c{n}-{command:02}")).collect();
    let session = format!("s{n}");
    let text = |id: &String| {
        let tokens = if is_first(id) { LONG_PROMPT + 35 * n } else { SHORT_PROMPT };
        request(id, "book", &session, REMAINING_MS, tokens)
    };
    let texts: Vec<Vec<u8>> = ids.iter().map(text).collect();
    let mut answers = Vec::new();
    let Ok(mut client) = Client::connect(to) else { return answers };
    if at_once {
        record.line(&format!(
            "client {n}: sends {COMMANDS} commands at once, {} to {}",
            ids[0],
            ids[COMMANDS - 1]
        ));
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
    let sent_on = SentOn::default();
    let agent = start_servers(record, &sent_on).and_then(Agent::start).map_err(|e| e.to_string())?;
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let mut conductor =
        Conductor::start("n1", &agent, limits, &settings::booking_chat(2)).map_err(|e| e.to_string())?;
    record.line(&format!("the conductor is ready at {}", conductor.listen));
    let (to, at_once, begin) = (conductor.listen, has_trouble(), Instant::now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            spawn(move || run_client(n, to, at_once, &record))
        })
        .collect();
    let (mut broken, mut answered) = (Vec::new(), 0);
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
                _ => broken.push(format!("book {id} was taken and sent on: {}", answer.summary())),
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
