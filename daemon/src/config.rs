//! What a conductor is told at its start: the JSON file that `EDGE_CONFIG` names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use frosttrail::setup::{self, ConfiguredNames, SetupError};
use frosttrail::Settings;
use frosttrail_membership::gossip::Role;
use frosttrail_membership::service::MembershipConfig;
use frosttrail_membership::LeaseConfig;
use frosttrail_transfer::service::{Config as NodeConfig, PushPolicy};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::{DiscoveryConfig, Listing};
use crate::transient::is_read_failure;

/// Why the daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("EDGE_CONFIG is not set: it names the configuration file")]
    MissingVariable,
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// It is not what it should be.
    #[error("{0}: {1}")]
    Malformed(PathBuf, serde_json::Error),
    /// The seed is no hexadecimal number.
    #[error("{0}: seed: not a hexadecimal number of at most 16 digits")]
    InvalidSeed(PathBuf),
    /// A line of the list that was last known can't be read.
    #[error("{0}: known.targets: {1}")]
    KnownMembers(PathBuf, String),
    /// The settings lack something.
    #[error("{0}: settings: {1}")]
    Settings(PathBuf, SetupError),
    /// A file of ours under `deploy/` is not what it should be.
    #[error("{0}: {1}")]
    DeployFile(PathBuf, String),
    /// The environment names an operators' address that is none.
    #[error("EDGE_OPS: {0}: not an address such as 127.0.0.1:9800")]
    OpsAddress(String),
    /// Too few descriptors to serve anything.
    #[error("{0}: limits.sockets: {1} are too few, {MIN_SOCKETS} are needed")]
    TooFewSockets(PathBuf, usize),
}

impl ConfigError {
    /// Whether the file may be readable a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable(_, e) if is_read_failure(e))
    }
}

/// Fewer descriptors than this leave nothing for clients.
const MIN_SOCKETS: usize = 64;

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
}

/// A conductor's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery's agent is.
    pub discovery: SocketAddr,
    /// Where operators call; without one nothing is opened for them.
    pub ops: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub max_sockets: usize,
    /// The list of members as it last had it.
    pub known_members: Listing,
    /// The settings.
    pub settings: Settings,
    /// What the settings' indices stand for.
    pub names: ConfiguredNames,
    /// The file as it was, without the list: what its successor may not lack.
    document: Value,
}

/// Why a configuration can't follow the one in force. Both leave that one in force.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SuccessionError {
    /// It lacks what the one in force has.
    #[error(
        "{0}: missing, though the configuration in force has it; write the file whole and send SIGHUP again"
    )]
    Missing(String),
    /// It changes what servers are already known by.
    #[error("settings.{0}: can't change while the program runs; start the new configuration as an upgrade")]
    Fixed(&'static str),
}

/// Keys that a successor may leave out.
const OPTIONAL_KEYS: [&str; 4] = ["ops", "aim-stretch", "dedup-scope", "dedup-window"];

/// The first key of an object, or of one within it, that its successor lacks.
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

/// The first key that all classes in force have and one of the successor lacks.
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
    /// Reads the file that the environment names.
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

    /// The size of the file that `EDGE_CONFIG` names; 0 where that can't be told.
    pub fn file_size() -> u64 {
        let path = std::env::var_os("EDGE_CONFIG").unwrap_or_default();
        std::fs::metadata(path).map_or(0, |file| file.len())
    }

    /// Whether a newer configuration is whole and may follow this one while requests are open.
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

    /// What differs in a newer configuration and can't change while the program runs. The seed and the
    /// known list are of use at a start only, so that they may differ.
    pub fn keys_needing_restart(&self, newer: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("ops", self.ops != newer.ops),
            ("limits", self.max_sockets != newer.max_sockets),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// What the source of members needs.
    pub fn discovery_config(&self) -> DiscoveryConfig {
        DiscoveryConfig { agent: self.discovery, conductors: self.settings.conductors }
    }

    /// Reads a file.
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
        if let Some(fault) = file.known.fault() {
            return Err(ConfigError::KnownMembers(owned_path(), fault));
        }
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets(owned_path(), file.limits.sockets));
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            ops: file.ops,
            seed,
            max_sockets: file.limits.sockets,
            known_members: file.known,
            settings: setup::settings(&file.settings, &names).map_err(settings_error)?,
            names,
            document: raw,
        })
    }
}

/// Reads a file of JSON.
fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let owned_path = || path.to_path_buf();
    let text = std::fs::read(path).map_err(|e| ConfigError::Unreadable(owned_path(), e))?;
    serde_json::from_slice(&text).map_err(|e| ConfigError::Malformed(owned_path(), e))
}

/// Where the chat front listens, and what it assumes of requests that do not say.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatFile {
    listen: SocketAddr,
    models: Vec<String>,
    class: String,
    max_tokens: u64,
}

/// The chat front's configuration.
#[derive(Debug)]
pub struct ChatConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Models that clients may name.
    pub models: Vec<String>,
    /// The class of a request that names none.
    pub class: String,
    /// The answer's limit where none is named.
    pub max_tokens: u64,
}

/// Reads a file of ours under `deploy/`, in the older form.
fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let owned_path = || path.to_path_buf();
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(owned_path(), e))?;
    // One line for whoever started it: the message without the excerpt that goes with it.
    let invalid = |e: toml::de::Error| ConfigError::DeployFile(owned_path(), e.message().replace('\n', " "));
    toml::from_str(&text).map_err(invalid)
}

impl ChatConfig {
    /// Reads the file; its class is one of the settings' own.
    pub fn read(path: &Path, settings: &Settings) -> Result<Self, ConfigError> {
        let file: ChatFile = read_toml(path)?;
        if settings.class(&file.class).is_none() {
            let unknown = SetupError::Unknown { key: "class".into(), name: file.class };
            return Err(ConfigError::DeployFile(path.to_path_buf(), unknown.to_string()));
        }
        Ok(ChatConfig {
            listen: file.listen,
            models: file.models,
            class: file.class,
            max_tokens: file.max_tokens,
        })
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct XdsFile {
    server: SocketAddr,
    refresh_ms: u64,
}

/// Where members come from in place of the platform's discovery.
#[derive(Clone, Debug)]
pub struct XdsConfig {
    /// The server.
    pub server: SocketAddr,
    /// How often it is asked.
    pub refresh: Duration,
}

impl XdsConfig {
    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let XdsFile { server, refresh_ms } = read_toml(path)?;
        Ok(XdsConfig { server, refresh: Duration::from_millis(refresh_ms.max(1)) })
    }
}

/// A node of the transfer service, as its file has it. Sizes are in KiB and MiB, times in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TransferFile {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    store: Option<PathBuf>,
    #[serde(default)]
    chunk_kib: Option<u32>,
    #[serde(default)]
    window_kib: Option<u32>,
    #[serde(default)]
    in_flight_kib: Option<u64>,
    #[serde(default)]
    memory_mib: Option<u64>,
    #[serde(default)]
    held_mib: Option<u64>,
    #[serde(default)]
    connections: Option<usize>,
    #[serde(default)]
    hold_ms: Option<u64>,
    #[serde(default)]
    limit_ms: Option<u64>,
    #[serde(default)]
    silence_ms: Option<u64>,
    #[serde(default)]
    drain_ms: Option<u64>,
}

/// A node of the transfer service.
#[derive(Clone, Debug)]
pub struct TransferConfig {
    /// Its name, in the log.
    pub name: String,
    /// Where other nodes connect.
    pub listen: SocketAddr,
    /// The folder for states that arrive; without one they are held for whoever fetches them.
    pub store: Option<PathBuf>,
    /// How long SIGTERM leaves to what is held.
    pub drain_timeout: Duration,
    /// The node's own settings.
    pub node: NodeConfig,
}

impl TransferConfig {
    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let invalid = |what: &str| ConfigError::DeployFile(path.to_path_buf(), what.to_string());
        let file: TransferFile = read_json(path)?;
        let push_policy = if file.store.is_some() { PushPolicy::Deliver } else { PushPolicy::Store };
        let mut node = NodeConfig { push_policy, ..Default::default() };
        let set_scaled = |slot: &mut u64, value: Option<u64>, unit: u64| {
            if let Some(value) = value {
                *slot = value.saturating_mul(unit);
            }
        };
        let kib_to_bytes = |value: u32, name| value.checked_mul(1 << 10).ok_or_else(|| invalid(name));
        if let Some(chunk) = file.chunk_kib {
            node.chunk_bytes = kib_to_bytes(chunk, "chunk_kib is too large")?;
        }
        if let Some(window) = file.window_kib {
            node.receiver.window_bytes = kib_to_bytes(window, "window_kib is too large")?;
        }
        set_scaled(&mut node.sender.max_in_flight_bytes, file.in_flight_kib, 1 << 10);
        set_scaled(&mut node.receiver.max_memory_bytes, file.memory_mib, 1 << 20);
        set_scaled(&mut node.sender.max_bytes, file.held_mib, 1 << 20);
        set_scaled(&mut node.timeouts.hold_ttl, file.hold_ms, 1_000);
        set_scaled(&mut node.timeouts.transfer_timeout, file.limit_ms, 1_000);
        set_scaled(&mut node.timeouts.silence_timeout, file.silence_ms, 1_000);
        node.max_connections = file.connections.unwrap_or(node.max_connections);
        if let Some(store) = file.store.as_ref().filter(|s| !s.is_dir()) {
            return Err(invalid(&format!("store: {} is no folder", store.display())));
        }
        node.check().map_err(|e| invalid(&e.to_string()))?;
        Ok(TransferConfig {
            name: file.name,
            listen: file.listen,
            store: file.store,
            drain_timeout: Duration::from_millis(file.drain_ms.unwrap_or(10_000)),
            node,
        })
    }
}

/// How the conductor takes part among those that share its servers.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MembershipFile {
    listen: SocketAddr,
    voters: Vec<SocketAddr>,
    key: String,
    most: u32,
}

/// Reads how the conductor takes part in a membership.
pub fn read_membership(path: &Path) -> Result<MembershipConfig, ConfigError> {
    let file: MembershipFile = read_json(path)?;
    let config = MembershipConfig {
        listen: file.listen,
        acceptors: file.voters,
        key: file.key,
        role: Role::Daemon,
        lease_config: LeaseConfig { max_instances: file.most, ..LeaseConfig::default() },
    };
    config.validate().map_err(|e| ConfigError::DeployFile(path.to_path_buf(), e.to_string()))?;
    Ok(config)
}
