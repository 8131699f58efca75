//! A planned restart: SIGTERM while clients of the chat front, which don't stream, wait for their answers.
//! SIGKILL may come 3.7 s later at the earliest; here it comes after 9 s. Each request has to get one answer.

use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_standins::agent::{Agent, Entry};
use review_standins::client::{Answer, Client};
use review_standins::conductor::{free_address, Conductor};
use review_standins::record::Record;
use review_standins::{finish, has_trouble, server, settings};

/// Tokens of each request's answer, one every 80 ms, as the class wants: the answers end 2 to 9 s after SIGTERM.
const TOKENS: [u32; 8] = [30, 35, 53, 54, 80, 100, 110, 120];
const TOKEN_INTERVAL: Duration = Duration::from_millis(80);
const SIGTERM_AFTER: Duration = Duration::from_millis(1_000);
/// From SIGTERM on.
const SIGKILL_AFTER: Duration = Duration::from_secs(9);

/// A chat request that does not stream, as an OpenAI-style client sends it; with its id, for the record.
fn chat_request(id: &str) -> String {
    let content = "A table for two at eight, please, and the one by the window if it is free.";
    let body = format!(r#"{{"model":"chat","messages":[{{"role":"user","content":"{content}"}}]}}"#);
    format!("POST /v1/chat/completions HTTP/1.1\r\nHost: chat\r\nX-Txn: {id}\r\nContent-Type: application/json\r\n")
        + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}

fn tokens_of(id: &str) -> u32 {
    id.split('-').nth(1).and_then(|n| TOKENS.get(n.parse::<usize>().ok()?).copied()).unwrap_or(10)
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let mut entries = Vec::new();
    for (name, model) in [("p1", "prefill"), ("p2", "prefill"), ("d1", "decode"), ("d2", "decode")] {
        let endpoint = server::start(
            name,
            record,
            Arc::new(move |attempt| {
                if model == "prefill" {
                    return attempt.prefill(Duration::from_millis(60));
                }
                let tokens = tokens_of(&attempt.id);
                attempt.stream(Duration::from_millis(60), tokens, TOKEN_INTERVAL, "booked")
            }),
        );
        let endpoint = endpoint.map_err(|e| format!("{name}: {e}"))?;
        let (uid, model, zone) = (name.to_string(), model.to_string(), "bangna".to_string());
        entries.push(Entry { uid, endpoint, zone, model, rack: 1, state: "active", boot_ms: 0 });
    }
    let agent = Agent::start(entries).map_err(|e| e.to_string())?;
    let (to, limits) =
        (free_address().map_err(|e| e.to_string())?, r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#);
    let settings = settings::booking_chat(2);
    let mut conductor = Conductor::start_with_chat("n1", &agent, limits, &settings, Some((to, "book")))
        .map_err(|e| e.to_string())?;
    record.line(&format!("the conductor is ready, its chat front at {to}"));
    let clients: Vec<_> = (0..TOKENS.len())
        .map(|n| {
            let (id, record) = (format!("r-{n}"), record.clone());
            spawn(move || {
                let mut client = Client::connect(to).ok()?;
                client.send(chat_request(&id).as_bytes()).ok()?;
                record.line(&format!("client: book {id} is sent"));
                let answer = client.answer(Duration::from_secs(20));
                record.line(&format!("client: book {id}: {}", answer.summary()));
                Some((id, answer))
            })
        })
        .collect();
    sleep(SIGTERM_AFTER);
    let mut ended_by_itself = None;
    if has_trouble() {
        let sigterm = Instant::now();
        record.line("platform: SIGTERM");
        conductor.signal("TERM").map_err(|e| e.to_string())?;
        while sigterm.elapsed() < SIGKILL_AFTER && ended_by_itself.is_none() {
            ended_by_itself = conductor.end().map_err(|e| e.to_string())?;
            sleep(Duration::from_millis(5));
        }
        let after = sigterm.elapsed();
        match ended_by_itself {
            Some(status) => {
                record.line(&format!(
                    "platform: the program has ended by itself, {status}, {after:?} after SIGTERM"
                ));
            }
            None => {
                record.line("platform: SIGKILL");
                conductor.signal("KILL").map_err(|e| e.to_string())?;
            }
        }
    }
    let mut lost = Vec::new();
    for client in clients {
        let answer = client.join().map_err(|_| "a client panicked")?;
        let (id, answer) = answer.ok_or("a client could not send")?;
        // What SIGKILL finds unanswered is excused, as all requests came before SIGTERM.
        let is_excused = has_trouble() && ended_by_itself.is_none();
        if !matches!(answer, Answer::Status(_)) && !is_excused {
            lost.push(format!("book {id}, {} tokens: {}", tokens_of(&id), answer.summary()));
        }
    }
    Ok(lost)
}

fn main() {
    let record = Record::create().expect("the record");
    let verdict = run(&record);
    finish(&record, verdict)
}
