//! An upgrade of an instance that takes part in the membership.

use std::thread;
use std::time::Duration;

use review_standins_2::*;

const PACE: Pace =
    Pace { first: Duration::from_millis(100), events: 10, interval: Duration::from_millis(60) };

fn main() {
    Case::run(|case| {
        let (book, record) = (Book::default(), &case.record);
        let servers = [
            ("p1", "prefill", start_prefill("p1", ms(40), book.clone(), record.clone())),
            ("d1", "decode", start_decode("d1", PACE, book.clone(), record.clone())),
        ];
        let list = list("rangsit", &servers);
        let (listen, agent) = (free_address(), start_agent(list.clone()));
        let setup =
            Setup { name: "n1", listen, agent, memory_mb: 192, sockets: 1024, list: &list, settings: BKK };
        let config = case.write("config.json", &setup.json())?;
        let udp = free_udp_address();
        let text =
            std::fs::read_to_string(case.root.join("deploy/membership.json")).map_err(|e| e.to_string())?;
        let membership = case.write("membership.json", &text.replace("127.0.0.1:7946", &udp.to_string()))?;
        let command = format!("{} serve --membership {}", case.run_command()?, membership.display());
        let start = |name: &str| {
            let ops = free_address();
            let env = [("EDGE_CONFIG", config.display().to_string()), ("EDGE_OPS", ops.to_string())];
            case.start(name, &command, &env).map(|process| (process, ops))
        };
        let (mut old, ops) = start("old")?;
        if !wait_until_ok(ops, "/api/ready", Duration::from_secs(10)) {
            return Err(format!("old is not ready: {}", old.log_text()));
        }
        thread::sleep(ms(1500));
        let mut held = true;
        if case.trouble {
            let (mut new, ops) = start("new")?;
            let is_ready = wait_until_ok(ops, "/api/ready", Duration::from_secs(6));
            let ended = new.has_ended();
            record.say(format!(
                "new: {}; {ended:?}; its log: {}",
                if is_ready { "ready" } else { "not ready within 6 s" },
                new.log_text().trim()
            ));
            held = is_ready && ended.is_none();
            if held {
                old.signal("TERM");
                old.wait(Duration::from_secs(5));
            }
        }
        let body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":100,\"messages\":[]}";
        let outcome =
            exchange(listen, &request("9b1f03aa5c7e2d41", "ask", 6000, 600, body), Duration::from_secs(10));
        record.say(format!("client: status {}, whole {}", outcome.status, outcome.is_whole));
        if old.has_ended().is_none() {
            old.signal("TERM");
            old.wait(Duration::from_secs(5));
        }
        Ok(held)
    })
}
