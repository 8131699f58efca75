//! Parses the JSON settings of a conductor into [`Settings`].
//!
//! Two programs use this module: the adapter reads the object from the simulator's first message, and the
//! conductor reads it from its configuration. The JSON refers to kinds, zones, classes and tenants by name.
//! The library uses indices, and [`ConfiguredNames`] maps between the two.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::Value;

use crate::interface::*;

/// Connection timeouts if the settings don't contain them.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
const DEFAULT_CONNECTION_IDLE_TIMEOUT: Micros = 30_000_000;

/// Longest deadline of a class: one day.
const MAX_DEADLINE: Micros = 86_400_000_000;

/// Error in the settings, or in a value that refers to them.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SetupError {
    /// A required key is missing or has the wrong type.
    #[error("{0}: missing or of the wrong type")]
    Missing(String),
    /// A name is not in the settings.
    #[error("{key}: no such name: {name}")]
    Unknown {
        /// Key of the value.
        key: String,
        /// The unknown name.
        name: String,
    },
    /// A number is not whole, or not from 1 to `max`.
    #[error("{key}: must be a whole number from 1 to {max}")]
    OutOfRange {
        /// Key of the value.
        key: String,
        /// Largest allowed value.
        max: u64,
    },
    /// Two elements of a list have the same name.
    #[error("{list}: the name {name} stands there twice")]
    DuplicateName {
        /// Key of the list.
        list: String,
        /// The duplicate name.
        name: String,
    },
    /// A list that must not be empty is empty.
    #[error("{0}: is empty")]
    Empty(String),
    /// The numbers of roles and kinds differ.
    #[error("specifics.kind-role: not one for each of kinds")]
    RoleCountMismatch,
}

impl From<SetupError> for String {
    fn from(error: SetupError) -> Self {
        error.to_string()
    }
}

impl SetupError {
    /// The same error for a key of a list's element.
    fn nested_in(self, list: &str) -> Self {
        match self {
            SetupError::Missing(key) => SetupError::Missing(format!("{list}[].{key}")),
            SetupError::OutOfRange { key, max } => {
                SetupError::OutOfRange { key: format!("{list}[].{key}"), max }
            }
            other => other,
        }
    }
}

/// Names of the kinds and zones, in the order of their indices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredNames {
    kinds: Vec<String>,
    zones: Vec<String>,
}

/// The value, or [`SetupError::Missing`] for `key`.
pub fn required<T>(value: Option<T>, key: &str) -> Result<T, SetupError> {
    value.ok_or_else(|| SetupError::Missing(key.into()))
}

/// A whole number, which may be written with a fraction. A fraction is cut off, and a negative number gives
/// 0.
pub fn whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().filter(|x| x.is_finite()).map(|x| x.max(0.0) as u64))
}

/// The value at a dotted key.
fn value_at<'a>(setup: &'a Value, key: &str) -> Option<&'a Value> {
    key.split('.').try_fold(setup, |value, part| value.get(part))
}

fn float_at(setup: &Value, key: &str) -> Result<f64, SetupError> {
    required(value_at(setup, key).and_then(Value::as_f64), key)
}

fn whole_number_at(setup: &Value, key: &str) -> Result<u64, SetupError> {
    required(value_at(setup, key).and_then(whole_number), key)
}

/// An optional whole number, which only the network code needs: the adapter's settings may omit it.
fn whole_number_or(setup: &Value, key: &str, default: Micros) -> Result<Micros, SetupError> {
    value_at(setup, key).map_or(Ok(default), |value| required(whole_number(value), key))
}

fn bool_at(setup: &Value, key: &str) -> Result<bool, SetupError> {
    required(value_at(setup, key).and_then(Value::as_bool), key)
}

fn list_at<'a>(setup: &'a Value, key: &str) -> Result<&'a Vec<Value>, SetupError> {
    required(value_at(setup, key).and_then(Value::as_array), key)
}

fn names_at(setup: &Value, key: &str) -> Result<Vec<String>, SetupError> {
    list_at(setup, key)?.iter().map(|v| required(v.as_str().map(str::to_string), key)).collect()
}

/// The name of a list's element.
fn name_of(member: &Value) -> Result<Id, SetupError> {
    required(member.get("name").and_then(Value::as_str).map(Id::from), "name")
}

/// A whole number from 1 to `max`.
fn positive_at(setup: &Value, key: &str, max: u64) -> Result<u64, SetupError> {
    let value = required(value_at(setup, key), key)?;
    let whole = |x: &f64| x.fract() == 0.0 && *x >= 0.0 && *x <= max as f64;
    let number = value.as_u64().or_else(|| value.as_f64().filter(whole).map(|x| x as u64));
    let number = number.filter(|n| (1..=max).contains(n));
    number.ok_or_else(|| SetupError::OutOfRange { key: key.into(), max })
}

/// Fails if two elements of a list have the same name.
fn check_unique<'a>(names: impl Iterator<Item = &'a Id>, list: &str) -> Result<(), SetupError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(SetupError::DuplicateName { list: list.into(), name: name.to_string() });
        }
    }
    Ok(())
}

impl ConfiguredNames {
    /// Parses the names in the settings.
    pub fn new(setup: &Value) -> Result<Self, SetupError> {
        Ok(ConfiguredNames { kinds: names_at(setup, "kinds")?, zones: names_at(setup, "zones")? })
    }

    /// The kinds of servers.
    pub fn kinds(&self) -> &[String] {
        &self.kinds
    }

    /// The zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }
}

/// The index of a name in a list of [`ConfiguredNames`]; `key` is the setting that contains the name.
pub fn index_of(names: &[String], name: &str, key: &str) -> Result<usize, SetupError> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| SetupError::Unknown { key: key.into(), name: name.into() })
}

fn parse_role(value: &Value) -> Result<Role, SetupError> {
    match value.as_str() {
        Some("read") => Ok(Role::Prefill),
        Some("write") => Ok(Role::Decode),
        Some("both") => Ok(Role::Mixed),
        _ => Err(SetupError::Missing("specifics.kind-role".into())),
    }
}

fn parse_class(
    class: &Value,
    first_token_target_per_ktoken: Micros,
    inter_token_target: Micros,
    max_attempts: u32,
) -> Result<RequestClass, SetupError> {
    let in_classes = |e: SetupError| e.nested_in("grades");
    let effect = match value_at(class, "effect").and_then(Value::as_str) {
        Some("retryable") => Effect::Safe,
        Some("fragile") => Effect::Unsafe,
        Some("dedup") => Effect::Keyed {
            scope: match value_at(class, "dedup-scope").and_then(Value::as_str) {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Rack,
                _ => return Err(in_classes(SetupError::Missing("dedup-scope".into()))),
            },
            window: whole_number_at(class, "dedup-window").map_err(in_classes)?,
        },
        _ => return Err(in_classes(SetupError::Missing("effect".into()))),
    };
    Ok(RequestClass {
        name: name_of(class).map_err(in_classes)?,
        max_attempts,
        first_token_target: whole_number_at(class, "slo").map_err(in_classes)?,
        first_token_target_per_ktoken,
        deadline: positive_at(class, "deadline", MAX_DEADLINE).map_err(in_classes)?,
        inter_token_target,
        effect,
        worth: float_at(class, "points").map_err(in_classes)?,
        late_share: float_at(class, "late-share").map_err(in_classes)?,
    })
}

fn parse_tenant(tenant: &Value) -> Result<Tenant, SetupError> {
    Ok(Tenant { name: name_of(tenant)?, quota_per_s: float_at(tenant, "quota-per-s")? })
}

/// Parses the settings.
pub fn settings(setup: &Value, names: &ConfiguredNames) -> Result<Settings, SetupError> {
    let roles =
        list_at(setup, "specifics.kind-role")?.iter().map(parse_role).collect::<Result<Vec<_>, _>>()?;
    if roles.len() != names.kinds.len() {
        return Err(SetupError::RoleCountMismatch);
    }
    let whole_numbers_at = |key| -> Result<Vec<u64>, SetupError> {
        list_at(setup, key)?.iter().map(|v| required(whole_number(v), key)).collect()
    };
    let (first_token_targets_per_ktoken, inter_token_targets) = (
        whole_numbers_at("specifics.aim-us-per-1000-prompt-tokens")?,
        whole_numbers_at("specifics.token-aim")?,
    );
    let class_entries = list_at(setup, "grades")?.iter().enumerate();
    let at = |list: &[u64], i: usize| list.get(i).copied().unwrap_or(0);
    let max_attempts = positive_at(setup, "limits.max-attempts", u64::from(u32::MAX))? as u32;
    let classes = class_entries
        .map(|(i, class)| {
            parse_class(
                class,
                at(&first_token_targets_per_ktoken, i),
                at(&inter_token_targets, i),
                max_attempts,
            )
            .map(Arc::new)
        })
        .collect::<Result<Vec<_>, _>>()?;
    check_unique(classes.iter().map(|class| &class.name), "grades")?;
    if classes.is_empty() {
        return Err(SetupError::Empty("grades".into()));
    }
    let tenants =
        list_at(setup, "tenants")?.iter().map(|t| parse_tenant(t).map_err(|e| e.nested_in("tenants")));
    let tenants = tenants.collect::<Result<Vec<_>, SetupError>>()?;
    check_unique(tenants.iter().map(|tenant| &tenant.name), "tenants")?;
    let zone = required(value_at(setup, "zone").and_then(Value::as_str), "zone")?;
    let mode = required(value_at(setup, "membership-mode").and_then(Value::as_str), "membership-mode")?;
    Ok(Settings {
        conductors: whole_number_at(setup, "balancers")?.clamp(1, u64::from(u32::MAX)) as u32,
        zone: index_of(&names.zones, zone, "zone")?,
        min_call_interval: whole_number_at(setup, "tick")?,
        memory_tokens: whole_numbers_at("specifics.kv-tokens")?,
        roles,
        classes,
        tenants,
        over_quota_worth: float_at(setup, "over-share-worth")?,
        parallel_attempts: bool_at(setup, "limits.parallel-tries")?,
        may_cancel: bool_at(setup, "limits.cancel")?,
        may_probe: bool_at(setup, "limits.may-probe")?,
        may_hold: bool_at(setup, "specifics.holds-allowed")?,
        max_retry_after: match bool_at(setup, "limits.retry-after")? {
            true => whole_number_at(setup, "limits.max-retry-after")?,
            false => 0,
        },
        decode_can_prefill: bool_at(setup, "specifics.self-prefill")?,
        resume: bool_at(setup, "specifics.resume")?,
        cache_release_timeout: whole_number_at(setup, "specifics.release")?,
        connect_timeout: whole_number_or(setup, "limits.connect-timeout", DEFAULT_CONNECT_TIMEOUT)?,
        connection_idle_timeout: whole_number_or(setup, "limits.conn-idle", DEFAULT_CONNECTION_IDLE_TIMEOUT)?,
        answer_slack: whole_number_at(setup, "rules.grace-to-answer")?,
        drain_grace: whole_number_at(setup, "rules.drain-grace")?,
        slow_start_initial_share: float_at(setup, "rules.cold-from")?,
        slow_start_duration: whole_number_at(setup, "rules.warm-within")?,
        overload_multiple: float_at(setup, "rules.fall-multiple")?,
        overload_duration: whole_number_at(setup, "rules.fall")?,
        list_poll_interval: match mode {
            "push" => None,
            "ask" => Some(whole_number_at(setup, "rules.ask-within")?),
            _ => return Err(SetupError::Missing("membership-mode".into())),
        },
    })
}

/// Parses a load report; unknown columns are ignored.
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
