//! A decode server whose streams are good, and which sends a second answer behind some of them, some
//! milliseconds late. Whatever comes behind an answer must reach no other client.

use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use review_standins::agent::{Agent, Entry};
use review_standins::client::{request, Answer, Client};
use review_standins::conductor::Conductor;
use review_standins::record::Record;
use review_standins::{finish, has_trouble, server, settings};

/// How late the second answer comes.
const LATE: Duration = Duration::from_millis(12);
/// One answer in so many has a second one behind it, at each decode server.
const SHARE: u32 = 8;
/// Conversations, each with one request at a time.
const SESSIONS: u32 = 6;
const TURNS: u32 = 100;

fn second_answer(id: &str) -> String {
    let event = |data: &str| format!("{:x}\r\ndata: {data}\n\n\r\n", data.len() + 8);
    let chunk = |finish: &str| {
        let text = format!("second answer for {id} ");
        format!(r#"{{"choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":{finish}}}]}}"#)
    };
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let events = event(&chunk("null")) + &event(&chunk(r#""stop""#)) + &event("[DONE]");
    format!("{head}{events}0\r\n\r\n")
}

fn run_session(n: u32, to: std::net::SocketAddr, record: &Record) -> Result<Vec<String>, String> {
    let mut foreign = Vec::new();
    let mut client = Client::connect(to).map_err(|e| e.to_string())?;
    for turn in 0..TURNS {
        let id = format!("s{n}t{turn:02}");
        let class = if turn % 2 == 0 { "ask" } else { "book" };
        client.send(&request(&id, class, &format!("session{n}"), 6_000, 200)).map_err(|e| e.to_string())?;
        let answer = client.answer(Duration::from_secs(7));
        record.line(&format!("client {n}: {class} {id}: {}", answer.summary()));
        let is_open = matches!(answer, Answer::Status(_) | Answer::Whole(_));
        if let Answer::Whole(events) | Answer::Cut(events) = answer {
            let texts = events.iter().filter(|event| event.contains("\"content\":"));
            let wrong: Vec<&String> =
                texts.filter(|event| !event.contains(&format!("answer for {id} "))).collect();
            let seconds = events.iter().filter(|event| event.contains("second answer")).count();
            if let Some(event) = wrong.first() {
                foreign.push(format!("{class} {id} got an answer that is not its own ({seconds}): {event}"));
            }
        }
        if !is_open {
            client = Client::connect(to).map_err(|e| e.to_string())?;
        }
    }
    Ok(foreign)
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let trouble = has_trouble();
    let mut entries = Vec::new();
    for (name, model) in [("p1", "prefill"), ("p2", "prefill"), ("d1", "decode"), ("d2", "decode")] {
        let count = AtomicU32::new(0);
        let behavior: Arc<server::Behavior> = match model {
            "prefill" => Arc::new(move |attempt| {
                // Most of the prompt is kept: 100 to 250 tokens are read, at some 20,000 a second.
                let n = count.fetch_add(1, Ordering::Relaxed);
                attempt.prefill(Duration::from_micros(6_000 + 500 * u64::from(n % 13)))
            }),
            _ => Arc::new(move |attempt| {
                let id = attempt.id.clone();
                let text = format!("answer for {id}");
                attempt.stream(Duration::from_millis(30), 4, Duration::from_millis(5), &text)?;
                if trouble && count.fetch_add(1, Ordering::Relaxed) % SHARE == 0 {
                    let (mut writer, record) = (attempt.writer.try_clone()?, attempt.record.clone());
                    spawn(move || {
                        sleep(LATE);
                        let sent = writer.write_all(second_answer(&id).as_bytes());
                        record.line(&format!("{name}: a second answer behind that of {id}: {sent:?}"));
                    });
                }
                Ok(())
            }),
        };
        let endpoint = server::start(name, record, behavior).map_err(|e| format!("{name}: {e}"))?;
        let (uid, model, zone) = (name.to_string(), model.to_string(), "bangna".to_string());
        entries.push(Entry { uid, endpoint, zone, model, rack: 1, state: "active", boot_ms: 0 });
    }
    let agent = Agent::start(entries).map_err(|e| e.to_string())?;
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let mut conductor =
        Conductor::start("n1", &agent, limits, &settings::booking_chat(2)).map_err(|e| e.to_string())?;
    let to = conductor.listen;
    let sessions: Vec<_> = (0..SESSIONS)
        .map(|n| {
            let record = record.clone();
            spawn(move || run_session(n, to, &record))
        })
        .collect();
    let mut foreign = Vec::new();
    for session in sessions {
        foreign.extend(session.join().map_err(|_| "a client panicked")??);
    }
    match conductor.end().map_err(|e| e.to_string())? {
        Some(status) => Err(format!("the conductor has ended: {status}: {}", conductor.log())),
        None => Ok(foreign),
    }
}

fn main() {
    let record = Record::create().expect("the record");
    let verdict = run(&record);
    finish(&record, verdict)
}
