//! The settings object, as a router gets it at its start, read into the one [`Settings`] type.
//!
//! Both programs use it: the adapter reads the object from the simulator's first message, the
//! conductor from its configuration. The settings name kinds, zones, classes and customers; the
//! library speaks of them by index, and [`ConfiguredNames`] keeps what the indices stand for.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::Value;

use crate::interface::*;

/// What the connection limits are where the settings are silent.
const CONNECT_TIMEOUT: Micros = 250_000;
const CONN_IDLE: Micros = 30_000_000;

/// No client waits longer than a day.
const DEADLINE_MAX: Micros = 86_400_000_000;

/// Why settings, or a value that refers to them, could not be read.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SetupError {
    /// A key that is needed is not there, or holds something else.
    #[error("{0}: missing or of the wrong type")]
    Missing(String),
    /// A name that the settings do not list.
    #[error("{key}: no such name: {name}")]
    Unknown {
        /// Where it stood.
        key: String,
        /// The name.
        name: String,
    },
    /// A number that must be whole and above zero is not, or is beyond its range.
    #[error("{key}: must be a whole number from 1 to {most}")]
    NotPositive {
        /// Where it stood.
        key: String,
        /// The largest that is taken.
        most: u64,
    },
    /// Two members of a list have one name.
    #[error("{list}: the name {name} stands there twice")]
    Repeated {
        /// The list.
        list: String,
        /// The name.
        name: String,
    },
    /// A list that must name something is empty.
    #[error("{0}: is empty")]
    Empty(String),
    /// Roles and kinds do not pair up.
    #[error("specifics.kind-role: not one for each of kinds")]
    Roles,
}

impl From<SetupError> for String {
    fn from(error: SetupError) -> Self {
        error.to_string()
    }
}

impl SetupError {
    /// The same complaint, of a key within a list.
    fn within(self, list: &str) -> Self {
        match self {
            SetupError::Missing(key) => SetupError::Missing(format!("{list}[].{key}")),
            SetupError::NotPositive { key, most } => {
                SetupError::NotPositive { key: format!("{list}[].{key}"), most }
            }
            other => other,
        }
    }
}

/// The names that indices stand for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredNames {
    kinds: Vec<String>,
    zones: Vec<String>,
}

/// The value, or the complaint that `key` lacks it.
pub fn required<T>(value: Option<T>, key: &str) -> Result<T, SetupError> {
    value.ok_or_else(|| SetupError::Missing(key.into()))
}

/// A whole number that may be written with a fraction; never below zero.
pub fn whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().filter(|x| x.is_finite()).map(|x| x.max(0.0) as u64))
}

/// The value at a dotted key.
fn dig<'a>(setup: &'a Value, key: &str) -> Option<&'a Value> {
    key.split('.').try_fold(setup, |value, part| value.get(part))
}

fn float_of(setup: &Value, key: &str) -> Result<f64, SetupError> {
    required(dig(setup, key).and_then(Value::as_f64), key)
}

fn whole_of(setup: &Value, key: &str) -> Result<u64, SetupError> {
    required(dig(setup, key).and_then(whole_number), key)
}

/// A number that only the network code needs; the adapter's operators may leave it out.
fn whole_or(setup: &Value, key: &str, usual: Micros) -> Result<Micros, SetupError> {
    dig(setup, key).map_or(Ok(usual), |value| required(whole_number(value), key))
}

fn flag_of(setup: &Value, key: &str) -> Result<bool, SetupError> {
    required(dig(setup, key).and_then(Value::as_bool), key)
}

fn list_of<'a>(setup: &'a Value, key: &str) -> Result<&'a Vec<Value>, SetupError> {
    required(dig(setup, key).and_then(Value::as_array), key)
}

fn names_of(setup: &Value, key: &str) -> Result<Vec<String>, SetupError> {
    list_of(setup, key)?.iter().map(|v| required(v.as_str().map(str::to_string), key)).collect()
}

/// The name of a member of a list.
fn name_of(member: &Value) -> Result<Id, SetupError> {
    required(member.get("name").and_then(Value::as_str).map(Id::from), "name")
}

/// A whole number above zero, up to a bound.
fn positive_of(setup: &Value, key: &str, most: u64) -> Result<u64, SetupError> {
    let value = required(dig(setup, key), key)?;
    let whole = |x: &f64| x.fract() == 0.0 && *x >= 0.0 && *x <= most as f64;
    let number = value.as_u64().or_else(|| value.as_f64().filter(whole).map(|x| x as u64));
    let number = number.filter(|n| (1..=most).contains(n));
    number.ok_or_else(|| SetupError::NotPositive { key: key.into(), most })
}

/// No two members of a list have one name.
fn check_unique<'a>(names: impl Iterator<Item = &'a Id>, list: &str) -> Result<(), SetupError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(SetupError::Repeated { list: list.into(), name: name.to_string() });
        }
    }
    Ok(())
}

impl ConfiguredNames {
    /// Reads the names from the settings.
    pub fn new(setup: &Value) -> Result<Self, SetupError> {
        Ok(ConfiguredNames { kinds: names_of(setup, "kinds")?, zones: names_of(setup, "zones")? })
    }

    /// The kinds of machine.
    pub fn kinds(&self) -> &[String] {
        &self.kinds
    }

    /// The zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }
}

/// The index of a name in one of the lists of [`ConfiguredNames`].
pub fn index_of(names: &[String], name: &str, key: &str) -> Result<usize, SetupError> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| SetupError::Unknown { key: key.into(), name: name.into() })
}

fn role(value: &Value) -> Result<Role, SetupError> {
    match value.as_str() {
        Some("read") => Ok(Role::Prefill),
        Some("write") => Ok(Role::Decode),
        Some("both") => Ok(Role::Mixed),
        _ => Err(SetupError::Missing("specifics.kind-role".into())),
    }
}

fn class(
    grade: &Value,
    aim_per_ktoken: Micros,
    token_aim: Micros,
    max_attempts: u32,
) -> Result<RequestClass, SetupError> {
    let named = |e: SetupError| e.within("grades");
    let effect = match dig(grade, "effect").and_then(Value::as_str) {
        Some("retryable") => Effect::Safe,
        Some("fragile") => Effect::Unsafe,
        Some("dedup") => Effect::Keyed {
            scope: match dig(grade, "dedup-scope").and_then(Value::as_str) {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Rack,
                _ => return Err(named(SetupError::Missing("dedup-scope".into()))),
            },
            window: whole_of(grade, "dedup-window").map_err(named)?,
        },
        _ => return Err(named(SetupError::Missing("effect".into()))),
    };
    Ok(RequestClass {
        name: name_of(grade).map_err(named)?,
        max_attempts,
        first_token_target: whole_of(grade, "slo").map_err(named)?,
        first_token_target_per_ktoken: aim_per_ktoken,
        deadline: positive_of(grade, "deadline", DEADLINE_MAX).map_err(named)?,
        inter_token_target: token_aim,
        effect,
        worth: float_of(grade, "points").map_err(named)?,
        late_share: float_of(grade, "late-share").map_err(named)?,
    })
}

fn tenant(tenant: &Value) -> Result<Tenant, SetupError> {
    Ok(Tenant { name: name_of(tenant)?, quota_per_s: float_of(tenant, "quota-per-s")? })
}

/// Reads the settings.
pub fn settings(setup: &Value, names: &ConfiguredNames) -> Result<Settings, SetupError> {
    let roles = list_of(setup, "specifics.kind-role")?.iter().map(role).collect::<Result<Vec<_>, _>>()?;
    if roles.len() != names.kinds.len() {
        return Err(SetupError::Roles);
    }
    let per_class = |key| -> Result<Vec<u64>, SetupError> {
        list_of(setup, key)?.iter().map(|v| required(whole_number(v), key)).collect()
    };
    let (per_ktoken, token_aim) =
        (per_class("specifics.aim-us-per-1000-prompt-tokens")?, per_class("specifics.token-aim")?);
    let grades = list_of(setup, "grades")?.iter().enumerate();
    let at = |list: &[u64], i: usize| list.get(i).copied().unwrap_or(0);
    let max_attempts = positive_of(setup, "limits.max-attempts", u64::from(u32::MAX))? as u32;
    let classes = grades
        .map(|(i, g)| class(g, at(&per_ktoken, i), at(&token_aim, i), max_attempts).map(Arc::new))
        .collect::<Result<Vec<_>, _>>()?;
    check_unique(classes.iter().map(|class| &class.name), "grades")?;
    if classes.is_empty() {
        return Err(SetupError::Empty("grades".into()));
    }
    let tenants = list_of(setup, "tenants")?.iter().map(|t| tenant(t).map_err(|e| e.within("tenants")));
    let tenants = tenants.collect::<Result<Vec<_>, SetupError>>()?;
    check_unique(tenants.iter().map(|tenant| &tenant.name), "tenants")?;
    let zone = required(dig(setup, "zone").and_then(Value::as_str), "zone")?;
    let mode = required(dig(setup, "membership-mode").and_then(Value::as_str), "membership-mode")?;
    Ok(Settings {
        conductors: whole_of(setup, "balancers")?.clamp(1, u64::from(u32::MAX)) as u32,
        zone: index_of(&names.zones, zone, "zone")?,
        min_call_interval: whole_of(setup, "tick")?,
        memory_tokens: per_class("specifics.kv-tokens")?,
        roles,
        classes,
        tenants,
        over_quota_worth: float_of(setup, "over-share-worth")?,
        parallel_attempts: flag_of(setup, "limits.parallel-tries")?,
        may_cancel: flag_of(setup, "limits.cancel")?,
        may_probe: flag_of(setup, "limits.may-probe")?,
        may_hold: flag_of(setup, "specifics.holds-allowed")?,
        max_retry_after: match flag_of(setup, "limits.retry-after")? {
            true => whole_of(setup, "limits.max-retry-after")?,
            false => 0,
        },
        decode_can_prefill: flag_of(setup, "specifics.self-prefill")?,
        resume: flag_of(setup, "specifics.resume")?,
        cache_release_timeout: whole_of(setup, "specifics.release")?,
        connect_timeout: whole_or(setup, "limits.connect-timeout", CONNECT_TIMEOUT)?,
        connection_idle_timeout: whole_or(setup, "limits.conn-idle", CONN_IDLE)?,
        answer_slack: whole_of(setup, "rules.grace-to-answer")?,
        drain_grace: whole_of(setup, "rules.drain-grace")?,
        slow_start_initial_share: float_of(setup, "rules.cold-from")?,
        slow_start_duration: whole_of(setup, "rules.warm-within")?,
        overload_multiple: float_of(setup, "rules.fall-multiple")?,
        overload_duration: whole_of(setup, "rules.fall")?,
        list_poll_interval: match mode {
            "push" => None,
            "ask" => Some(whole_of(setup, "rules.ask-within")?),
            _ => return Err(SetupError::Missing("membership-mode".into())),
        },
    })
}

/// A load report; columns that are not known are skipped.
pub fn load_report(report: &Value) -> Result<LoadReport, SetupError> {
    let report = required(report.as_object(), "telemetry")?;
    let column = |name| report.get(name).and_then(Value::as_f64);
    Ok(LoadReport {
        memory: column("x0"),
        waiting_ktokens: column("x1"),
        slots: column("utilization"),
        queued: column("backlog"),
        outstanding: column("outstanding").or_else(|| column("inflight")),
    })
}
