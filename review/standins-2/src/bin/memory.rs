//! Hundreds of requests at once, of the largest size that the protocol has, and the limit on memory.

use std::thread;
use std::time::Duration;

use review_standins_2::*;

const MEMORY_MB: u64 = 96;
/// Clients hold no more than a third of the 1,024 descriptors.
const REQUESTS: usize = 330;
const PACE: Pace =
    Pace { first: Duration::from_millis(150), events: 25, interval: Duration::from_millis(60) };

fn main() {
    Case::run(|case| {
        let (book, record) = (Book::default(), &case.record);
        let servers = [
            ("p1", "prefill", start_prefill("p1", ms(300), book.clone(), record.clone())),
            ("p2", "prefill", start_prefill("p2", ms(300), book.clone(), record.clone())),
            ("d1", "decode", start_decode("d1", PACE, book.clone(), record.clone())),
            ("d2", "decode", start_decode("d2", PACE, book.clone(), record.clone())),
        ];
        let list = list("rangsit", &servers);
        let (listen, agent) = (free_address(), start_agent(list.clone()));
        let setup = Setup {
            name: "n1",
            listen,
            agent,
            memory_mb: MEMORY_MB,
            sockets: 1024,
            list: &list,
            settings: BKK,
        };
        let config = case.write("config.json", &setup.json())?;
        let env = [("EDGE_CONFIG", config.display().to_string())];
        let mut conductor = case.start("conductor", &case.run_command()?, &env)?;
        if !wait_until_ok(listen, "/_health", Duration::from_secs(10)) {
            return Err(format!("the conductor is not ready: {}", conductor.log_text()));
        }
        let peak = |conductor: &Process| conductor.peak_memory_kib().unwrap_or(0);
        record.say(format!("memory: {} KiB at the start, limit {} KiB", peak(&conductor), MEMORY_MB * 1024));
        let head = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":400,\"messages\":[{\"role\":\"user\",\"content\":\"";
        let size = if case.trouble { 256 * 1024 } else { 24 * 1024 };
        let count = if case.trouble { REQUESTS } else { 40 };
        let body = format!("{head}{}\"}}]}}", "a".repeat(size - head.len() - 4));
        let clients: Vec<_> = (0..count)
            .map(|n| {
                let request = request(&format!("9b1f03aa5c7e{n:04x}"), "ask", 6000, body.len() / 4, &body);
                thread::Builder::new()
                    .stack_size(256 << 10)
                    .spawn(move || exchange(listen, &request, Duration::from_secs(20)))
            })
            .collect();
        let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
        for client in clients.into_iter().flatten() {
            if let Ok(outcome) = client.join() {
                *statuses.entry(outcome.status).or_default() += 1;
            }
        }
        record.say(format!(
            "clients: {count} requests of {} bytes each; answers by status: {statuses:?}",
            body.len()
        ));
        let peak = peak(&conductor);
        record.say(format!("memory: at most {peak} KiB, limit {} KiB", MEMORY_MB * 1024));
        if conductor.has_ended().is_some() || peak == 0 {
            return Err("the conductor has ended".into());
        }
        conductor.signal("TERM");
        conductor.wait(Duration::from_secs(10));
        Ok(peak <= MEMORY_MB * 1024)
    })
}
