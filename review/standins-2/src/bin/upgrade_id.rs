//! An upgrade, and the id of a request that another client has open at the old process.

use std::thread;
use std::time::Duration;

use review_standins_2::*;

const ID: &str = "9b1f03aa5c7e2d41";
const BODY: &str = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":100,\"messages\":[]}";
/// 100 tokens, four to an event, 70 ms a token.
const PACE: Pace =
    Pace { first: Duration::from_millis(200), events: 25, interval: Duration::from_millis(280) };

fn main() {
    Case::run(|case| {
        let (book, record) = (Book::default(), &case.record);
        let servers = [
            ("p1", "prefill", start_prefill("p1", ms(40), book.clone(), record.clone())),
            ("p2", "prefill", start_prefill("p2", ms(40), book.clone(), record.clone())),
            ("d1", "decode", start_decode("d1", PACE, book.clone(), record.clone())),
            ("d2", "decode", start_decode("d2", PACE, book.clone(), record.clone())),
        ];
        let list = list("rangsit", &servers);
        let (listen, agent) = (free_address(), start_agent(list.clone()));
        let setup =
            Setup { name: "n1", listen, agent, memory_mb: 192, sockets: 1024, list: &list, settings: BKK };
        let config = case.write("config.json", &setup.json())?;
        let start = |name: &str| {
            let ops = free_address();
            let env = [("EDGE_CONFIG", config.display().to_string()), ("EDGE_OPS", ops.to_string())];
            let process = case.start(name, &case.run_command()?, &env)?;
            match wait_until_ok(ops, "/api/ready", Duration::from_secs(10)) {
                true => Ok(process),
                false => Err(format!("{name} is not ready: {}", process.log_text())),
            }
        };
        let old = start("old")?;
        thread::sleep(ms(1200));
        let send = |who: &'static str| {
            let record = record.clone();
            thread::spawn(move || {
                record.say(format!("{who}: sends {ID}, class book"));
                let outcome =
                    exchange(listen, &request(ID, "book", 15000, 600, BODY), Duration::from_secs(20));
                record.say(format!(
                    "{who}: {ID} has status {}, {} events, {}, after {} ms",
                    outcome.status,
                    outcome.events(),
                    if outcome.is_whole { "whole" } else { "no whole answer" },
                    outcome.took.as_millis()
                ));
                outcome
            })
        };
        let first = send("client");
        thread::sleep(ms(600));
        if book.get(ID).decodes != 1 {
            return Err("the first request does not run".into());
        }
        let new = match case.trouble {
            true => {
                let new = start("new")?;
                record.say("new: says yes to /api/ready");
                old.signal("TERM");
                thread::sleep(ms(100));
                Some(new)
            }
            false => None,
        };
        let second =
            send("bad client, with the id of the open request").join().map_err(|_| "a client has failed")?;
        let first = first.join().map_err(|_| "a client has failed")?;
        let seen = book.get(ID);
        record.say(format!("servers: {ID} {seen:?}"));
        drop((old, new));
        if first.status != 200 {
            return Err("the first request was not served".into());
        }
        // Owed: an error or a close, and no second copy of a request that is out.
        Ok(seen.decodes == 1 && seen.most_out == 1 && second.status != 200)
    })
}
