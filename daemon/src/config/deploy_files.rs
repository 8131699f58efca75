//! The files that switch parts on, as those under `deploy/`: of the chat front, xDS, the membership and the
//! transfer node.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use frosttrail::setup::SetupError;
use frosttrail::Settings;
use frosttrail_membership::gossip::Role;
use frosttrail_membership::service::MembershipConfig;
use frosttrail_membership::LeaseConfig;
use frosttrail_transfer::service::{Config as NodeConfig, PushPolicy};
use serde::de::DeserializeOwned;
use serde::Deserialize;

use super::{read_json, ConfigError};

/// The fields of the chat front's configuration file.
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
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The models that clients may request.
    pub models: Vec<String>,
    /// The class of requests that do not name one.
    pub class: String,
    /// The limit on output tokens of requests that do not set one.
    pub max_tokens: u64,
}

/// Reads and deserializes a TOML file. The files of the chat front and of xDS are TOML.
fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let owned_path = || path.to_path_buf();
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(owned_path(), e))?;
    // Configuration errors are one line, so the excerpt of the file that follows the message is left out.
    let invalid = |e: toml::de::Error| ConfigError::DeployFile(owned_path(), e.message().replace('\n', " "));
    toml::from_str(&text).map_err(invalid)
}

impl ChatConfig {
    /// Reads the file and checks that the settings define its class.
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

/// The xDS server that provides the members in place of the platform's discovery.
#[derive(Clone, Debug)]
pub struct XdsConfig {
    /// Its address.
    pub server: SocketAddr,
    /// The interval between its queries.
    pub refresh: Duration,
}

impl XdsConfig {
    /// Reads the file; an interval of 0 counts as 1 ms.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let XdsFile { server, refresh_ms } = read_toml(path)?;
        Ok(XdsConfig { server, refresh: Duration::from_millis(refresh_ms.max(1)) })
    }
}

/// The fields of a transfer node's configuration file. Sizes are in KiB and MiB, times in milliseconds.
/// Absent fields keep the node's defaults.
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

/// The configuration of a transfer node.
#[derive(Clone, Debug)]
pub struct TransferConfig {
    /// Its name in the log.
    pub name: String,
    /// The address on which it accepts other nodes.
    pub listen: SocketAddr,
    /// The folder in which received KV caches are stored; without one they are held in memory to be fetched.
    pub store: Option<PathBuf>,
    /// How long held KV caches stay available after SIGTERM.
    pub drain_timeout: Duration,
    /// The settings of the transfer service.
    pub node: NodeConfig,
}

impl TransferConfig {
    /// Reads and checks the file.
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
            return Err(invalid(&format!("store: {} is no folder or does not exist", store.display())));
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

/// The fields of the membership's configuration file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MembershipFile {
    listen: SocketAddr,
    voters: Vec<SocketAddr>,
    key: String,
    most: u32,
}

/// Reads and checks the configuration of the membership, among whose instances the servers' quota is divided.
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
