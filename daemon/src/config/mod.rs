//! Reads and checks configuration files: the JSON file that `EDGE_CONFIG` names, and those that switch parts
//! on.

mod deploy_files;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use frosttrail::setup::{self, ConfiguredNames, SetupError};
use frosttrail::Settings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::{DiscoveryConfig, Listing};
use crate::transient::is_transient_read_error;

pub use deploy_files::{read_membership, ChatConfig, TransferConfig, XdsConfig};

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `EDGE_CONFIG` is not set.
    #[error("EDGE_CONFIG is not set; set it to the path of the configuration file")]
    MissingVariable,
    /// The file can't be read.
    #[error("{0}: can't read the file: {1}; check that it exists and is readable")]
    Unreadable(PathBuf, std::io::Error),
    /// The file is not JSON, or has missing, unknown or invalid fields.
    #[error("{0}: {1}; correct the file")]
    Malformed(PathBuf, serde_json::Error),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("{0}: seed: must be a hexadecimal number of at most 16 digits")]
    InvalidSeed(PathBuf),
    /// An entry of the last known member list is invalid.
    #[error("{0}: known.targets: {1}; correct or remove this entry")]
    KnownMembers(PathBuf, String),
    /// A setting is missing or invalid.
    #[error("{0}: settings: {1}; correct the file")]
    Settings(PathBuf, SetupError),
    /// A chat, xDS, membership or transfer file, such as those under `deploy/`, is invalid.
    #[error("{0}: {1}; correct the file")]
    DeployFile(PathBuf, String),
    /// `EDGE_OPS` is not a socket address.
    #[error("EDGE_OPS: {0}: must be an address and a port, such as 127.0.0.1:9800")]
    OpsAddress(String),
    /// The limit on descriptors is too low to serve clients.
    #[error("{0}: limits.sockets: {1} is too low; set it to at least {MIN_SOCKETS}")]
    TooFewSockets(PathBuf, usize),
    /// The limit on memory is too low to serve clients.
    #[error("{0}: limits.memory_mb: {1} is too low; set it to at least {MIN_MEMORY_MB}")]
    TooLittleMemory(PathBuf, f64),
}

impl ConfigError {
    /// Whether reading the file again may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable(_, e) if is_transient_read_error(e))
    }
}

/// With fewer descriptors, none are left for clients.
const MIN_SOCKETS: usize = 64;
/// With less memory, none is left for requests.
const MIN_MEMORY_MB: f64 = 32.0;
/// The unit of `limits.memory_mb` in bytes.
const MEGABYTE: f64 = 1e6;

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    ops: Option<SocketAddr>,
    seed: String,
    limits: Limits,
    known: Listing,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default)]
    memory_mb: Option<f64>,
}

/// A conductor's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The conductor's name.
    pub name: String,
    /// The address on which it accepts clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the operators' server, which is not started without one.
    pub ops: Option<SocketAddr>,
    /// Seeds the random number generator.
    pub seed: u64,
    /// How many descriptors the process may have open.
    pub max_sockets: usize,
    /// How many bytes of memory the process may take, if that is limited.
    pub max_memory_bytes: Option<u64>,
    /// The last known list of members, used until discovery answers.
    pub known_members: Listing,
    /// The settings.
    pub settings: Settings,
    /// The names behind the indices in the settings.
    pub names: ConfiguredNames,
    /// The file's content without the list of members. A newer configuration must have all of its keys.
    document: Value,
}

/// Why a newer configuration can't replace the one in force, which then stays in force.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SuccessionError {
    /// A key of the configuration in force is missing.
    #[error(
        "{0}: missing, but set in the configuration in force; write the complete file and send SIGHUP again"
    )]
    Missing(String),
    /// A setting differs on which the identity or role of known servers depends.
    #[error("settings.{0}: can't change at run time; start a new process with it, as for an upgrade")]
    Fixed(&'static str),
}

/// Keys that a newer configuration may omit.
const OPTIONAL_KEYS: [&str; 4] = ["ops", "aim-stretch", "dedup-scope", "dedup-window"];

/// Finds the first key of `current`, at any depth, that is missing from `newer`.
fn missing_key(current: &Value, newer: &Value, path: &str) -> Option<String> {
    let Value::Object(keys) = current else { return None };
    keys.iter().filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str())).find_map(|(key, value)| {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        match newer.get(key) {
            None => Some(path),
            Some(newer) => missing_key(value, newer, &path),
        }
    })
}

/// Finds the first key that all current classes have and that one of the newer classes lacks.
fn missing_class_key(current: &Value, newer: &Value) -> Option<String> {
    let classes = |settings: &Value| settings["grades"].as_array().cloned().unwrap_or_default();
    let (current, newer) = (classes(current), classes(newer));
    let keys = current.first()?.as_object()?.keys().filter(|key| !OPTIONAL_KEYS.contains(&key.as_str()));
    let common: Vec<&String> =
        keys.filter(|key| current.iter().all(|class| class.get(key).is_some())).collect();
    let missing_from = |class: &Value| common.iter().find(|key| class.get(key).is_none()).copied();
    newer.iter().find_map(missing_from).map(|key| format!("settings.grades[].{key}"))
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names; `EDGE_OPS`, if it is not empty, replaces `ops`.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os("EDGE_CONFIG").ok_or(ConfigError::MissingVariable)?;
        let config = Config::read(Path::new(&path))?;
        let ops = match std::env::var("EDGE_OPS") {
            Ok(address) if !address.is_empty() => {
                Some(address.parse().map_err(|_| ConfigError::OpsAddress(address))?)
            }
            _ => config.ops,
        };
        Ok(Config { ops, ..config })
    }

    /// The size in bytes of the file that `EDGE_CONFIG` names; 0 if its metadata can't be read.
    pub fn file_size() -> u64 {
        let path = std::env::var_os("EDGE_CONFIG").unwrap_or_default();
        std::fs::metadata(path).map_or(0, |file| file.len())
    }

    /// Checks that a newer configuration is complete and can replace this one while requests are in flight.
    pub fn check_successor(&self, newer: &Config) -> Result<(), SuccessionError> {
        let missing = missing_key(&self.document, &newer.document, "");
        let missing =
            missing.or_else(|| missing_class_key(&self.document["settings"], &newer.document["settings"]));
        if let Some(key) = missing {
            return Err(SuccessionError::Missing(key));
        }
        let (current, new) = (&self.settings, &newer.settings);
        let fixed_keys = [
            ("kinds", self.names.kinds() != newer.names.kinds()),
            ("zones", self.names.zones() != newer.names.zones()),
            ("zone", current.zone != new.zone),
            ("specifics.kind-role", current.roles != new.roles),
            ("membership-mode", current.list_poll_interval.is_some() != new.list_poll_interval.is_some()),
        ];
        match fixed_keys.into_iter().find(|(_, differs)| *differs) {
            Some((key, _)) => Err(SuccessionError::Fixed(key)),
            None => Ok(()),
        }
    }

    /// The keys that differ in a newer configuration and take effect only after a restart. The seed and the
    /// known members are used only at startup, so they may differ.
    pub fn keys_needing_restart(&self, newer: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("ops", self.ops != newer.ops),
            (
                "limits",
                self.max_sockets != newer.max_sockets || self.max_memory_bytes != newer.max_memory_bytes,
            ),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// The part of the configuration that service discovery uses.
    pub fn discovery_config(&self) -> DiscoveryConfig {
        DiscoveryConfig { agent: self.discovery, conductors: self.settings.conductors }
    }

    /// Reads and checks a configuration file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let owned_path = || path.to_path_buf();
        let mut raw: Value = read_json(path)?;
        let file = ConfigFile::deserialize(&raw).map_err(|e| ConfigError::Malformed(owned_path(), e))?;
        if let Some(known) = raw.get_mut("known") {
            *known = Value::Null;
        }
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::InvalidSeed(owned_path()))?;
        let settings_error = |e| ConfigError::Settings(owned_path(), e);
        let names = ConfiguredNames::new(&file.settings).map_err(settings_error)?;
        if let Some(fault) = file.known.first_error() {
            return Err(ConfigError::KnownMembers(owned_path(), fault));
        }
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets(owned_path(), file.limits.sockets));
        }
        if let Some(memory_mb) = file.limits.memory_mb.filter(|memory_mb| *memory_mb < MIN_MEMORY_MB) {
            return Err(ConfigError::TooLittleMemory(owned_path(), memory_mb));
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            ops: file.ops,
            seed,
            max_sockets: file.limits.sockets,
            max_memory_bytes: file.limits.memory_mb.map(|memory_mb| (memory_mb * MEGABYTE) as u64),
            known_members: file.known,
            settings: setup::settings(&file.settings, &names).map_err(settings_error)?,
            names,
            document: raw,
        })
    }
}

/// Reads and deserializes a JSON file.
fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let owned_path = || path.to_path_buf();
    let text = std::fs::read(path).map_err(|e| ConfigError::Unreadable(owned_path(), e))?;
    serde_json::from_slice(&text).map_err(|e| ConfigError::Malformed(owned_path(), e))
}
