//! The settings object, as a router gets it at its start, read into the one [`Settings`] type.
//!
//! Both programs use it: the adapter reads the object from the simulator's first message, the
//! conductor from its configuration. The settings name kinds, zones, classes and customers; the
//! library speaks of them by index, and [`Names`] keeps what the indices stand for.

use serde_json::Value;

use crate::interface::*;

/// What the connection limits are where the settings are silent.
const CONNECT_TIMEOUT: Micros = 250_000;
const CONN_IDLE: Micros = 30_000_000;

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
            other => other,
        }
    }
}

/// The names that indices stand for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    kinds: Vec<String>,
    zones: Vec<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
}

/// The value, or the complaint that `key` lacks it.
pub fn want<T>(value: Option<T>, key: &str) -> Result<T, SetupError> {
    value.ok_or_else(|| SetupError::Missing(key.into()))
}

/// A whole number that may be written with a fraction; never below zero.
pub fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().filter(|x| x.is_finite()).map(|x| x.max(0.0) as u64))
}

/// The value at a dotted key.
fn dig<'a>(setup: &'a Value, key: &str) -> Option<&'a Value> {
    key.split('.').try_fold(setup, |value, part| value.get(part))
}

fn float_of(setup: &Value, key: &str) -> Result<f64, SetupError> {
    want(dig(setup, key).and_then(Value::as_f64), key)
}

fn whole_of(setup: &Value, key: &str) -> Result<u64, SetupError> {
    want(dig(setup, key).and_then(number), key)
}

/// A number that only the network code needs; the adapter's operators may leave it out.
fn whole_or(setup: &Value, key: &str, usual: Micros) -> Result<Micros, SetupError> {
    dig(setup, key).map_or(Ok(usual), |value| want(number(value), key))
}

fn flag_of(setup: &Value, key: &str) -> Result<bool, SetupError> {
    want(dig(setup, key).and_then(Value::as_bool), key)
}

fn list_of<'a>(setup: &'a Value, key: &str) -> Result<&'a Vec<Value>, SetupError> {
    want(dig(setup, key).and_then(Value::as_array), key)
}

fn names_of(setup: &Value, key: &str) -> Result<Vec<String>, SetupError> {
    list_of(setup, key)?.iter().map(|v| want(v.as_str().map(str::to_string), key)).collect()
}

fn member_names(setup: &Value, key: &str) -> Result<Vec<String>, SetupError> {
    let name =
        |v: &Value| want(v.get("name").and_then(Value::as_str).map(str::to_string), &format!("{key}[].name"));
    list_of(setup, key)?.iter().map(name).collect()
}

impl Names {
    /// Reads the names from the settings.
    pub fn new(setup: &Value) -> Result<Self, SetupError> {
        Ok(Names {
            kinds: names_of(setup, "kinds")?,
            zones: names_of(setup, "zones")?,
            classes: member_names(setup, "grades")?,
            tenants: member_names(setup, "tenants")?,
        })
    }

    /// The kinds of machine.
    pub fn kinds(&self) -> &[String] {
        &self.kinds
    }

    /// The zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The classes of requests.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The customers.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }
}

/// The index of a name in one of the lists of [`Names`].
pub fn index(names: &[String], name: &str, key: &str) -> Result<usize, SetupError> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| SetupError::Unknown { key: key.into(), name: name.into() })
}

fn role(value: &Value) -> Result<Role, SetupError> {
    match value.as_str() {
        Some("read") => Ok(Role::Read),
        Some("write") => Ok(Role::Write),
        Some("both") => Ok(Role::Both),
        _ => Err(SetupError::Missing("specifics.kind-role".into())),
    }
}

fn class(grade: &Value, aim_per_ktoken: Micros, token_aim: Micros) -> Result<Class, SetupError> {
    let named = |e: SetupError| e.within("grades");
    let effect = match dig(grade, "effect").and_then(Value::as_str) {
        Some("retryable") => Effect::Safe,
        Some("fragile") => Effect::Unsafe,
        Some("dedup") => Effect::Keyed {
            scope: match dig(grade, "dedup-scope").and_then(Value::as_str) {
                Some("all") => Scope::All,
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                _ => return Err(named(SetupError::Missing("dedup-scope".into()))),
            },
            window: whole_of(grade, "dedup-window").map_err(named)?,
        },
        _ => return Err(named(SetupError::Missing("effect".into()))),
    };
    Ok(Class {
        aim: whole_of(grade, "slo").map_err(named)?,
        aim_per_ktoken,
        deadline: whole_of(grade, "deadline").map_err(named)?,
        token_aim,
        effect,
        worth: float_of(grade, "points").map_err(named)?,
        late_share: float_of(grade, "late-share").map_err(named)?,
    })
}

/// Reads the settings.
pub fn settings(setup: &Value, names: &Names) -> Result<Settings, SetupError> {
    let roles = list_of(setup, "specifics.kind-role")?.iter().map(role).collect::<Result<Vec<_>, _>>()?;
    if roles.len() != names.kinds.len() {
        return Err(SetupError::Roles);
    }
    let per_class = |key| -> Result<Vec<u64>, SetupError> {
        list_of(setup, key)?.iter().map(|v| want(number(v), key)).collect()
    };
    let (per_ktoken, token_aim) =
        (per_class("specifics.aim-us-per-1000-prompt-tokens")?, per_class("specifics.token-aim")?);
    let grades = list_of(setup, "grades")?.iter().enumerate();
    let at = |list: &[u64], i: usize| list.get(i).copied().unwrap_or(0);
    let classes = grades
        .map(|(i, g)| class(g, at(&per_ktoken, i), at(&token_aim, i)))
        .collect::<Result<Vec<_>, _>>()?;
    let quota = |t: &Value| float_of(t, "quota-per-s").map_err(|e| e.within("tenants"));
    let tenants = list_of(setup, "tenants")?.iter().map(|t| Ok(Tenant { quota_per_s: quota(t)? }));
    let zone = want(dig(setup, "zone").and_then(Value::as_str), "zone")?;
    let mode = want(dig(setup, "membership-mode").and_then(Value::as_str), "membership-mode")?;
    Ok(Settings {
        balancers: whole_of(setup, "balancers")?.clamp(1, u64::from(u32::MAX)) as u32,
        zone: index(&names.zones, zone, "zone")?,
        tick: whole_of(setup, "tick")?,
        memory_tokens: per_class("specifics.kv-tokens")?,
        roles,
        classes,
        tenants: tenants.collect::<Result<Vec<_>, SetupError>>()?,
        over_share_worth: float_of(setup, "over-share-worth")?,
        max_attempts: whole_of(setup, "limits.max-attempts")?.min(u64::from(u32::MAX)) as u32,
        parallel_tries: flag_of(setup, "limits.parallel-tries")?,
        may_cancel: flag_of(setup, "limits.cancel")?,
        may_probe: flag_of(setup, "limits.may-probe")?,
        may_hold: flag_of(setup, "specifics.holds-allowed")?,
        max_retry_after: match flag_of(setup, "limits.retry-after")? {
            true => whole_of(setup, "limits.max-retry-after")?,
            false => 0,
        },
        self_prefill: flag_of(setup, "specifics.self-prefill")?,
        resume: flag_of(setup, "specifics.resume")?,
        release: whole_of(setup, "specifics.release")?,
        connect_timeout: whole_or(setup, "limits.connect-timeout", CONNECT_TIMEOUT)?,
        conn_idle: whole_or(setup, "limits.conn-idle", CONN_IDLE)?,
        answer_slack: whole_of(setup, "rules.grace-to-answer")?,
        drain_grace: whole_of(setup, "rules.drain-grace")?,
        cold_from: float_of(setup, "rules.cold-from")?,
        warm_within: whole_of(setup, "rules.warm-within")?,
        fall_multiple: float_of(setup, "rules.fall-multiple")?,
        fall: whole_of(setup, "rules.fall")?,
        ask_within: match mode {
            "push" => None,
            "ask" => Some(whole_of(setup, "rules.ask-within")?),
            _ => return Err(SetupError::Missing("membership-mode".into())),
        },
    })
}

/// A load report; columns that are not known are skipped.
pub fn load(report: &Value) -> Result<Load, SetupError> {
    let report = want(report.as_object(), "telemetry")?;
    let column = |name| report.get(name).and_then(Value::as_f64);
    Ok(Load {
        memory: column("x0"),
        waiting_ktokens: column("x1"),
        slots: column("utilization"),
        queued: column("backlog"),
        outstanding: column("outstanding").or_else(|| column("inflight")),
    })
}
