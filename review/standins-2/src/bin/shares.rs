//! Three instances that settle their shares among themselves, and a new configuration.

use std::thread;
use std::time::Duration;

use review_standins_2::*;

const INSTANCES: usize = 3;
/// What all conductors together may have at one prefill server (docs/deployment.md).
const WHOLE: u32 = 12;
const REQUESTS: usize = 24;
const PACE: Pace = Pace { first: Duration::from_millis(50), events: 4, interval: Duration::from_millis(60) };

/// Sends requests to every instance at once; returns the most prefills that were out at the prefill server together.
fn most_prefills(case: &Case, round: &str, meter: &Meter, listen: &[std::net::SocketAddr]) -> u32 {
    meter.reset();
    let body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":100,\"messages\":[]}";
    let mut clients = Vec::new();
    for (n, to) in listen.iter().copied().enumerate() {
        for k in 0..REQUESTS {
            let request = request(&format!("{round}-{n}-{k}"), "ask", 6000, 100, body);
            clients.push(thread::spawn(move || exchange(to, &request, Duration::from_secs(10)).status));
        }
    }
    let statuses: Vec<u16> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let most = meter.most();
    case.record.say(format!(
        "{round}: {REQUESTS} requests at each instance, {served} of {} served; at the prefill server at most {most} prefills at a time, the whole is {WHOLE}",
        statuses.len()
    ));
    most
}

fn main() {
    Case::run(|case| {
        let (book, record, meter) = (Book::default(), &case.record, Meter::default());
        let servers = [
            (
                "p1",
                "prefill",
                start_metered_prefill("p1", ms(400), meter.clone(), book.clone(), record.clone()),
            ),
            ("d1", "decode", start_decode("d1", PACE, book.clone(), record.clone())),
            ("d2", "decode", start_decode("d2", PACE, book.clone(), record.clone())),
            ("d3", "decode", start_decode("d3", PACE, book.clone(), record.clone())),
            ("d4", "decode", start_decode("d4", PACE, book.clone(), record.clone())),
        ];
        let list = list("rangsit", &servers);
        let agent = start_agent(list.clone());
        let voters: Vec<String> = (0..INSTANCES).map(|_| free_udp_address().to_string()).collect();
        let names = voters.iter().map(|voter| format!("\"{voter}\"")).collect::<Vec<_>>().join(",");
        let settings =
            |balancers: usize| BKK.replace("\"balancers\": 2", &format!("\"balancers\": {balancers}"));
        let (mut instances, mut listen) = (Vec::new(), Vec::new());
        for (n, voter) in voters.iter().enumerate() {
            let address = free_address();
            let settings = settings(1);
            let name = format!("n{n}");
            let setup = Setup {
                name: &name,
                listen: address,
                agent,
                memory_mb: 192,
                sockets: 1024,
                list: &list,
                settings: &settings,
            };
            let config = case.write(&format!("{name}.json"), &setup.json())?;
            let text = format!("{{\"listen\":\"{voter}\",\"voters\":[{names}],\"key\":\"what the three instances share\",\"most\":64}}");
            let membership = case.write(&format!("membership-{n}.json"), &text)?;
            let command = format!("{} serve --membership {}", case.run_command()?, membership.display());
            instances.push(case.start(&name, &command, &[("EDGE_CONFIG", config.display().to_string())])?);
            listen.push(address);
        }
        for address in &listen {
            if !wait_until_ok(*address, "/_health", Duration::from_secs(10)) {
                return Err("an instance is not ready".into());
            }
        }
        // Acceptors are silent for one lease of 3 s; then a leader is elected and shares are leased.
        thread::sleep(Duration::from_secs(9));
        let before = most_prefills(case, "before", &meter, &listen);
        if !(3..=WHOLE).contains(&before) {
            return Err(format!("shares have not settled: {before} prefills"));
        }
        thread::sleep(Duration::from_secs(4));
        if case.trouble {
            for (n, instance) in instances.iter().enumerate() {
                let path = case.folder.join(format!("n{n}.json"));
                let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
                let text = text.replace("\"balancers\": 1", "\"balancers\": 2");
                std::fs::write(&path, text).map_err(|e| e.to_string())?;
                instance.signal("HUP");
            }
        }
        thread::sleep(Duration::from_secs(2));
        let after = most_prefills(case, "after", &meter, &listen);
        thread::sleep(Duration::from_secs(4));
        let later = most_prefills(case, "later", &meter, &listen);
        for instance in &mut instances {
            instance.signal("TERM");
        }
        for instance in &mut instances {
            instance.wait(Duration::from_secs(5));
        }
        Ok(after <= WHOLE && later <= WHOLE)
    })
}
