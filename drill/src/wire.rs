//! Parses the events of the line protocol into the library's types and encodes its actions.

use std::sync::Arc;

use frosttrail::setup::{index_of, load_report, required, whole_number, ConfiguredNames, SetupError};
use frosttrail::{
    Action, Event, Health, Id, ListUpdateKind, LoadReport, Outcome, Query, RequestClass, ServerEntry,
    Settings,
};
use serde_json::{json, Value};

/// One line of input.
pub enum Line<'a> {
    /// Starts a batch of events, all at the time `now`.
    Mark { now: u64, index: u64 },
    /// Ends the batch.
    End,
    /// An event for one instance; `rest` holds its remaining values, not parsed yet.
    Event { name: &'a str, instance: &'a str, rest: &'a [Value] },
}

/// Parses one line.
pub fn parse_line(value: &Value) -> Result<Line<'_>, String> {
    let values = value.as_array().ok_or("not an array")?;
    let name = values.first().and_then(Value::as_str).ok_or("no name in front")?;
    match name {
        "mark" => Ok(Line::Mark {
            now: required_number(values, 1, "clock")?,
            index: required_number(values, 2, "batch index")?,
        }),
        "end" => Ok(Line::End),
        _ => Ok(Line::Event { name, instance: required_text(values, 1, "router-id")?, rest: &values[2..] }),
    }
}

/// Parses the seed and the settings of a new instance.
pub fn parse_provision(rest: &[Value]) -> Result<(u64, &Value), String> {
    Ok((required_number(rest, 0, "prng")?, rest.get(1).ok_or("no setup")?))
}

fn required_number(values: &[Value], at: usize, key: &str) -> Result<u64, String> {
    Ok(required(values.get(at).and_then(whole_number), key)?)
}

fn required_text<'a>(values: &'a [Value], at: usize, key: &str) -> Result<&'a str, String> {
    Ok(required(values.get(at).and_then(Value::as_str), key)?)
}

/// Returns 0 for a number that is absent or null.
fn optional_number(values: &[Value], at: usize, key: &str) -> Result<u64, String> {
    match values.get(at) {
        None | Some(Value::Null) => Ok(0),
        Some(value) => Ok(required(whole_number(value), key)?),
    }
}

fn optional_flag(values: &[Value], at: usize, key: &str) -> Result<bool, String> {
    match values.get(at) {
        None | Some(Value::Null) => Ok(false),
        Some(value) => Ok(required(value.as_bool(), key)?),
    }
}

fn parse_outcome(status: &str, detail: u64) -> Result<Outcome, String> {
    Ok(match status {
        "served" => Outcome::Served,
        "ready_to_answer" => Outcome::PrefillDone,
        "server_error" => Outcome::Failed,
        "turned_away" if detail == 1 => Outcome::CacheMissing,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => return Err(format!("status: no such word: {status}")),
    })
}

/// Parses a load report; unknown fields are ignored.
fn parse_load_report(value: Option<&Value>) -> Result<Option<LoadReport>, String> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => Ok(Some(load_report(value)?)),
    }
}

fn parse_server_entry(value: &Value, names: &ConfiguredNames) -> Result<ServerEntry, String> {
    let v = required(value.as_array(), "elements")?;
    Ok(ServerEntry {
        rack: required_number(v, 0, "cohort")?,
        kind: index_of(names.kinds(), required_text(v, 2, "flavor")?, "flavor")?,
        zone: index_of(names.zones(), required_text(v, 3, "az")?, "az")?,
        server: required_text(v, 4, "server")?.into(),
        started: optional_number(v, 5, "started-at")?,
        health: match required_text(v, 6, "health")? {
            "U" => Health::Up,
            "L" => Health::Draining,
            "D" => Health::Gone,
            other => return Err(format!("health: no such word: {other}")),
        },
    })
}

fn parse_members(rest: &[Value], names: &ConfiguredNames) -> Result<Event, String> {
    let kind = match required_text(rest, 0, "form")? {
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
            list.iter().map(|e| parse_server_entry(e, names)).collect::<Result<Vec<_>, _>>()?
        }
    };
    Ok(Event::Members { kind, entries })
}

fn find_class(settings: &Settings, name: &str) -> Result<Arc<RequestClass>, String> {
    let unknown = || SetupError::Unknown { key: "category".into(), name: name.into() };
    Ok(settings.class(name).ok_or_else(unknown)?)
}

fn parse_query(v: &[Value], settings: &Settings) -> Result<Event, String> {
    Ok(Event::Query(Query {
        id: required_text(v, 0, "ref")?.into(),
        is_client_retry: optional_flag(v, 1, "resent")?,
        prefix: v.get(3).and_then(Value::as_str).map(Id::from),
        prompt_tokens: optional_number(v, 4, "prompt-len")?,
        prefix_tokens: optional_number(v, 5, "prefix-tokens")?,
        max_tokens: optional_number(v, 6, "n-max")?,
        resumes_stream: optional_flag(v, 7, "came-back")?,
        session: v.get(8).and_then(Value::as_str).unwrap_or_default().into(),
        class: find_class(settings, required_text(v, 9, "category")?)?,
        budget: required_number(v, 10, "budget")?,
        tenant: v.get(11).and_then(Value::as_str).and_then(|t| settings.tenant(t)),
    }))
}

/// Parses an event; returns `None` for an unknown one.
pub fn parse_event(
    name: &str,
    v: &[Value],
    names: &ConfiguredNames,
    settings: &Settings,
) -> Result<Option<Event>, String> {
    let id = || required_text(v, 0, "ref").map(Id::from);
    let attempt = |at| required_number(v, at, "leg").map(|n| n.min(u64::from(u32::MAX)) as u32);
    let server = |at| required_text(v, at, "server").map(Id::from);
    Ok(Some(match name {
        "members" => parse_members(v, names)?,
        "query" => parse_query(v, settings)?,
        "headers" => Event::AnswerStarted {
            id: id()?,
            attempt: attempt(1)?,
            elapsed: optional_number(v, 3, "elapsed")?,
        },
        "result" => {
            let detail = optional_number(v, 2, "detail")?;
            Event::AttemptEnded {
                id: id()?,
                elapsed: optional_number(v, 1, "elapsed")?,
                cached_tokens: detail,
                finished: optional_flag(v, 3, "finished")?,
                attempt: attempt(4)?,
                server: server(5)?,
                outcome: parse_outcome(required_text(v, 6, "status")?, detail)?,
                load: parse_load_report(v.get(7))?,
            }
        }
        "timed-out-client" => Event::ClientGone { id: id()? },
        "hold-result" => {
            let reserved = required_number(v, 1, "what")? == 1;
            Event::SlotReservation {
                id: id()?,
                reserved,
                server: required(v.last().and_then(Value::as_str), "server")?.into(),
            }
        }
        "status-back" => Event::ProbeEnded {
            server: server(0)?,
            outcome: parse_outcome(required_text(v, 1, "status")?, 0)?,
            load: parse_load_report(v.get(3))?,
        },
        "bell" => Event::TimerFired { token: required_number(v, 0, "ctx")? },
        _ => return Ok(None),
    }))
}

/// Encodes an action in the words of the protocol.
pub fn encode_action(instance: &str, action: Action) -> Value {
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
        Action::Log(text) => json!(["record", instance, text]),
    }
}
