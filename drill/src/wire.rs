//! The words of the wire, to and from the types of the library.

use std::sync::Arc;

use frosttrail::setup::{index_of, load_report, required, whole_number, ConfiguredNames, SetupError};
use frosttrail::{
    Action, Event, Health, Id, ListUpdateKind, LoadReport, Outcome, Query, RequestClass, ServerEntry,
    Settings,
};
use serde_json::{json, Value};

/// One line of input.
pub enum Line<'a> {
    /// A batch opens.
    Mark { now: u64, index: u64 },
    /// A batch closes.
    End,
    /// An event of an instance, its further values as they came.
    Event { name: &'a str, instance: &'a str, rest: &'a [Value] },
}

/// Reads one line.
pub fn parse(value: &Value) -> Result<Line<'_>, String> {
    let values = value.as_array().ok_or("not an array")?;
    let name = values.first().and_then(Value::as_str).ok_or("no name in front")?;
    match name {
        "mark" => Ok(Line::Mark { now: whole(values, 1, "clock")?, index: whole(values, 2, "batch index")? }),
        "end" => Ok(Line::End),
        _ => Ok(Line::Event { name, instance: text(values, 1, "router-id")?, rest: &values[2..] }),
    }
}

/// The seed and the settings of a new instance.
pub fn provision(rest: &[Value]) -> Result<(u64, &Value), String> {
    Ok((whole(rest, 0, "prng")?, rest.get(1).ok_or("no setup")?))
}

fn whole(values: &[Value], at: usize, key: &str) -> Result<u64, String> {
    Ok(required(values.get(at).and_then(whole_number), key)?)
}

fn text<'a>(values: &'a [Value], at: usize, key: &str) -> Result<&'a str, String> {
    Ok(required(values.get(at).and_then(Value::as_str), key)?)
}

/// A number that may be absent or null.
fn maybe(values: &[Value], at: usize, key: &str) -> Result<u64, String> {
    match values.get(at) {
        None | Some(Value::Null) => Ok(0),
        Some(value) => Ok(required(whole_number(value), key)?),
    }
}

fn flag(values: &[Value], at: usize, key: &str) -> Result<bool, String> {
    match values.get(at) {
        None | Some(Value::Null) => Ok(false),
        Some(value) => Ok(required(value.as_bool(), key)?),
    }
}

fn outcome(status: &str, note: u64) -> Result<Outcome, String> {
    Ok(match status {
        "served" => Outcome::Served,
        "ready_to_answer" => Outcome::PrefillDone,
        "server_error" => Outcome::Failed,
        "turned_away" if note == 1 => Outcome::CacheMissing,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => return Err(format!("status: no such word: {status}")),
    })
}

/// A load report; columns that are not known are skipped.
fn telemetry(value: Option<&Value>) -> Result<Option<LoadReport>, String> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => Ok(Some(load_report(value)?)),
    }
}

fn entry(value: &Value, names: &ConfiguredNames) -> Result<ServerEntry, String> {
    let v = required(value.as_array(), "elements")?;
    Ok(ServerEntry {
        rack: whole(v, 0, "cohort")?,
        kind: index_of(names.kinds(), text(v, 2, "flavor")?, "flavor")?,
        zone: index_of(names.zones(), text(v, 3, "az")?, "az")?,
        server: text(v, 4, "server")?.into(),
        started: maybe(v, 5, "started-at")?,
        health: match text(v, 6, "health")? {
            "U" => Health::Up,
            "L" => Health::Draining,
            "D" => Health::Gone,
            other => return Err(format!("health: no such word: {other}")),
        },
    })
}

fn members(rest: &[Value], names: &ConfiguredNames) -> Result<Event, String> {
    let form = match text(rest, 0, "form")? {
        "incr" => ListUpdateKind::Changes,
        "total" => ListUpdateKind::Full,
        "warm_copy" => ListUpdateKind::StaleCopy,
        "lost" => ListUpdateKind::SourceUnavailable,
        other => return Err(format!("form: no such word: {other}")),
    };
    let entries = match rest.get(2) {
        None | Some(Value::Null) => Vec::new(),
        Some(list) => {
            let list = required(list.as_array(), "elements")?;
            list.iter().map(|e| entry(e, names)).collect::<Result<Vec<_>, _>>()?
        }
    };
    Ok(Event::Members { form, entries })
}

fn class(settings: &Settings, name: &str) -> Result<Arc<RequestClass>, String> {
    let unknown = || SetupError::Unknown { key: "category".into(), name: name.into() };
    Ok(settings.class(name).ok_or_else(unknown)?)
}

fn query(v: &[Value], settings: &Settings) -> Result<Event, String> {
    Ok(Event::Query(Query {
        id: text(v, 0, "ref")?.into(),
        is_client_retry: flag(v, 1, "resent")?,
        prefix: v.get(3).and_then(Value::as_str).map(Id::from),
        prompt_tokens: maybe(v, 4, "prompt-len")?,
        prefix_tokens: maybe(v, 5, "prefix-tokens")?,
        max_tokens: maybe(v, 6, "n-max")?,
        resumes_stream: flag(v, 7, "came-back")?,
        session: v.get(8).and_then(Value::as_str).unwrap_or_default().into(),
        class: class(settings, text(v, 9, "category")?)?,
        budget: whole(v, 10, "budget")?,
        tenant: v.get(11).and_then(Value::as_str).and_then(|t| settings.tenant(t)),
    }))
}

/// Reads an event; `None` for one that is not known.
pub fn event(
    name: &str,
    v: &[Value],
    names: &ConfiguredNames,
    settings: &Settings,
) -> Result<Option<Event>, String> {
    let id = || text(v, 0, "ref").map(Id::from);
    let leg = |at| whole(v, at, "leg").map(|n| n.min(u64::from(u32::MAX)) as u32);
    let server = |at| text(v, at, "server").map(Id::from);
    Ok(Some(match name {
        "members" => members(v, names)?,
        "query" => query(v, settings)?,
        "headers" => Event::AnswerStarted { id: id()?, attempt: leg(1)?, elapsed: maybe(v, 3, "elapsed")? },
        "result" => {
            let detail = maybe(v, 2, "detail")?;
            Event::AttemptEnded {
                id: id()?,
                elapsed: maybe(v, 1, "elapsed")?,
                cached_tokens: detail,
                finished: flag(v, 3, "finished")?,
                attempt: leg(4)?,
                server: server(5)?,
                outcome: outcome(text(v, 6, "status")?, detail)?,
                load: telemetry(v.get(7))?,
            }
        }
        "timed-out-client" => Event::ClientGone { id: id()? },
        "hold-result" => {
            let held = whole(v, 1, "what")? == 1;
            Event::SlotReservation {
                id: id()?,
                reserved: held,
                server: required(v.last().and_then(Value::as_str), "server")?.into(),
            }
        }
        "status-back" => Event::ProbeEnded {
            server: server(0)?,
            outcome: outcome(text(v, 1, "status")?, 0)?,
            load: telemetry(v.get(3))?,
        },
        "bell" => Event::TimerFired { token: whole(v, 0, "ctx")? },
        _ => return Ok(None),
    }))
}

/// Puts an action into the wire's words.
pub fn action(instance: &str, action: Action) -> Value {
    match action {
        Action::Send { id, server, stop_at, .. } => json!(["relay", instance, &*id, stop_at, &*server]),
        Action::Cancel { id, attempt } => json!(["retract", instance, &*id, attempt]),
        Action::Refuse { id, retry_after } => json!(["decline", instance, &*id, retry_after]),
        Action::Fail { id } => json!(["drop-request", instance, &*id]),
        Action::ReleaseCache { id } => json!(["drop-state", instance, &*id]),
        Action::MoveStream { id } => json!(["redirect", instance, &*id]),
        Action::Probe { server } => json!(["ask-load", instance, &*server]),
        Action::Watch => json!(["observe", instance, true]),
        Action::SetTimer { delay, token } => json!(["remind", instance, delay, token]),
        Action::Log(words) => json!(["record", instance, words]),
    }
}
