//! Runs the frosttrail router under a simulator that speaks a line protocol: batches of JSON events on
//! standard input, actions on standard output. It makes no decisions of its own.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use frosttrail::setup::{settings, ConfiguredNames};
use frosttrail::{Router, Settings};
use serde_json::{json, Value};
use wire::Line;

/// One router, its settings and the names that its events use for kinds and zones.
struct Instance {
    names: ConfiguredNames,
    settings: Settings,
    router: Router,
}

/// Instances by id; `None` for one whose setup was rejected or whose router panicked.
type Instances = BTreeMap<String, Option<Instance>>;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = BufWriter::new(io::stdout().lock());
    match run(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("frosttrail-drill: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances = Instances::new();
    let mut open_batch: Option<(u64, u64)> = None;
    let mut actions = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let with_line_number = |message: String| format!("line {}: {message}", index + 1);
        let line = line.map_err(|e| with_line_number(e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let value: Value = serde_json::from_str(&line).map_err(|e| with_line_number(e.to_string()))?;
        let line = wire::parse_line(&value).map_err(with_line_number)?;
        match (line, open_batch) {
            (Line::Mark { now, index }, None) => open_batch = Some((now, index)),
            (Line::End, Some((_, index))) => {
                writeln!(output, "{}", json!(["ok", index])).map_err(|e| e.to_string())?;
                output.flush().map_err(|e| e.to_string())?;
                open_batch = None;
            }
            (Line::Event { name, instance, rest }, Some((now, _))) => {
                let process = || process_event(&mut instances, now, name, instance, rest, &mut actions);
                let replies = match catch_unwind(AssertUnwindSafe(process)) {
                    Ok(replies) => replies.map_err(with_line_number)?,
                    Err(cause) => {
                        instances.insert(instance.to_string(), None);
                        vec![json!(["panic", instance, panic_text(&*cause)])]
                    }
                };
                for reply in replies {
                    writeln!(output, "{reply}").map_err(|e| e.to_string())?;
                }
            }
            (_, Some(_)) => return Err(with_line_number("a batch opens within a batch".into())),
            (_, None) => return Err(with_line_number("an event or an end outside a batch".into())),
        }
    }
    match open_batch {
        Some(_) => Err("the input ends within a batch".into()),
        None => Ok(()),
    }
}

/// Passes one event to its instance and encodes the actions; events for unknown instances are ignored.
fn process_event(
    instances: &mut Instances,
    now: u64,
    name: &str,
    instance: &str,
    rest: &[Value],
    actions: &mut Vec<frosttrail::Action>,
) -> Result<Vec<Value>, String> {
    match name {
        "provision" => {
            let (seed, setup) = wire::parse_provision(rest)?;
            let provisioned = ConfiguredNames::new(setup).and_then(|n| Ok((settings(setup, &n)?, n)));
            return Ok(match provisioned {
                Ok((settings, names)) => {
                    let router = Router::new(settings.clone(), seed);
                    instances.insert(instance.to_string(), Some(Instance { names, settings, router }));
                    Vec::new()
                }
                Err(message) => {
                    instances.insert(instance.to_string(), None);
                    vec![json!(["panic", instance, message.to_string()])]
                }
            });
        }
        "retire" => {
            instances.remove(instance);
            return Ok(Vec::new());
        }
        _ => {}
    }
    let Some(Some(Instance { names, settings, router })) = instances.get_mut(instance) else {
        return Ok(Vec::new());
    };
    let Some(event) = wire::parse_event(name, rest, names, settings)? else { return Ok(Vec::new()) };
    actions.clear();
    router.handle(now, event, actions);
    Ok(actions.drain(..).map(|action| wire::encode_action(instance, action)).collect())
}

fn panic_text(cause: &(dyn std::any::Any + Send)) -> String {
    let text = cause.downcast_ref::<&str>().copied();
    let owned = || cause.downcast_ref::<String>().cloned();
    text.map(str::to_string).or_else(owned).unwrap_or_else(|| "panic".into())
}

#[cfg(test)]
#[path = "../tests/unit/run.rs"]
mod tests;
