//! A planned restart (SIGTERM) at a site whose clients don't ask for the rest of a stream.

use std::thread;
use std::time::Duration;

use review_standins_2::*;

/// 160 tokens, four to an event, 50 ms a token: streams of 8 s, which end some 6.4 s after SIGTERM.
const LONG: Pace =
    Pace { first: Duration::from_millis(100), events: 40, interval: Duration::from_millis(200) };
/// Streams of 5.1 s, which end some 3.6 s after SIGTERM: before the platform may send SIGKILL (3.7 s).
const SHORT: Pace =
    Pace { first: Duration::from_millis(100), events: 26, interval: Duration::from_millis(200) };
const CLIENTS: usize = 6;

fn main() {
    Case::run(|case| {
        let (book, record) = (Book::default(), &case.record);
        let intake = start_prefill("intake-1", ms(40), book.clone(), record.clone());
        let servers = [
            ("intake-1", "intake", intake),
            ("intake-2", "intake", start_prefill("intake-2", ms(40), book.clone(), record.clone())),
            ("reply-1", "reply-a", start_decode("reply-1", SHORT, book.clone(), record.clone())),
            ("reply-2", "reply-a", start_decode("reply-2", LONG, book.clone(), record.clone())),
        ];
        let list = list("galway-1", &servers);
        let (listen, agent) = (free_address(), start_agent(list.clone()));
        let setup =
            Setup { name: "n1", listen, agent, memory_mb: 192, sockets: 1024, list: &list, settings: GALWAY };
        let config = case.write("config.json", &setup.json())?;
        let env = [("EDGE_CONFIG", config.display().to_string())];
        let mut conductor = case.start("conductor", &case.run_command()?, &env)?;
        if !wait_until_ok(listen, "/_health", Duration::from_secs(10)) {
            return Err(format!("the conductor is not ready: {}", conductor.log_text()));
        }
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let record = record.clone();
                thread::spawn(move || {
                    let class = if n % 2 == 0 { "quote-issue" } else { "quote-chat" };
                    let id = format!("9b1f03aa5c7e2d4{n}");
                    let body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":400,\"messages\":[]}";
                    let remaining = if n % 2 == 0 { 6000 } else { 7500 };
                    record.say(format!("client: sends {id}, class {class}"));
                    let outcome =
                        exchange(listen, &request(&id, class, remaining, 600, body), Duration::from_secs(20));
                    record.say(format!(
                        "client: {id} has status {}, {} events, {}, after {} ms",
                        outcome.status,
                        outcome.events(),
                        if outcome.is_whole { "whole" } else { "CUT before the last chunk" },
                        outcome.took.as_millis()
                    ));
                    (id, class, outcome)
                })
            })
            .collect();
        thread::sleep(ms(1500));
        // The platform kills no sooner than 3.7 s after SIGTERM; this one waits for 15 s.
        let mut code = None;
        if case.trouble {
            conductor.signal("TERM");
            code = conductor.wait(Duration::from_secs(15));
        }
        let outcomes: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
        if !case.trouble {
            conductor.signal("TERM");
            code = conductor.wait(Duration::from_secs(15));
        }
        if code.is_none() {
            conductor.signal("KILL");
            conductor.wait(Duration::from_secs(2));
        }
        let begun = outcomes.iter().filter(|(_, _, outcome)| outcome.status == 200).count();
        if begun < CLIENTS {
            return Err(format!("only {begun} of {CLIENTS} streams began"));
        }
        let cut = outcomes.iter().filter(|(_, _, outcome)| !outcome.is_whole).count();
        record.say(format!(
            "{cut} of {CLIENTS} streams were cut by the conductor while their servers still wrote"
        ));
        // What SIGKILL finds is excused; what the conductor ends itself is not.
        Ok(cut == 0 || code.is_none())
    })
}
