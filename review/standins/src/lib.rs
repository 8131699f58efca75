//! Stand-ins for the cases of the review: clients, prefill and decode servers, a discovery agent, and the
//! platform that starts and ends conductors. Standard library only, one thread for each connection.

pub mod agent;
pub mod client;
pub mod conductor;
pub mod http;
pub mod record;
pub mod server;
pub mod settings;

/// Whether the case runs with its disruption; `TROUBLE=0` turns that off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &record::Record, verdict: Result<Vec<String>, String>) -> ! {
    let code = match verdict {
        Ok(broken) if broken.is_empty() => {
            record.line("RESULT: the rule held");
            0
        }
        Ok(broken) => {
            broken.iter().for_each(|what| record.line(&format!("BROKEN: {what}")));
            record.line(&format!("RESULT: the rule was broken, {} times", broken.len()));
            1
        }
        Err(why) => {
            record.line(&format!("RESULT: the case could not run: {why}"));
            2
        }
    };
    std::process::exit(code)
}
