//! Polls members from a server that speaks Envoy's xDS, version 3, over REST with JSON: first the clusters,
//! then the endpoints of each. A cluster represents one kind of server; the README describes the mapping.

use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fnv::FnvHasher;
use frosttrail::setup::{index_of, ConfiguredNames};
use frosttrail::{Health, Id, ListUpdateKind, ServerEntry};
use frosttrail_core::{Clock, MembershipSource, MembershipUpdate};
use hyper::{Method, StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::json;
use slog::{info, warn, Logger};
use tokio::time::sleep;

use super::http::{read_body, send_request, DiscoveryError, OpenResponse};
use crate::config::XdsConfig;
use crate::upstream::AddressTable;

/// Limits sending a request up to the head of its response, and reading the body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest response body accepted.
const MAX_BODY_BYTES: usize = 8 << 20;
const CLUSTER_TYPE: &str = "envoy.config.cluster.v3.Cluster";
const ENDPOINT_TYPE: &str = "envoy.config.endpoint.v3.ClusterLoadAssignment";

#[derive(Deserialize)]
struct DiscoveryResponse<T> {
    #[serde(default, alias = "versionInfo")]
    version_info: String,
    #[serde(default)]
    nonce: String,
    #[serde(default = "Vec::new")]
    resources: Vec<T>,
}

#[derive(Clone, Deserialize)]
struct Cluster {
    name: String,
    #[serde(default, alias = "edsClusterConfig")]
    eds_cluster_config: Option<EdsConfig>,
    #[serde(default, alias = "loadAssignment")]
    load_assignment: Option<Assignment>,
    #[serde(default)]
    metadata: Metadata,
}

#[derive(Clone, Deserialize)]
struct EdsConfig {
    #[serde(default, alias = "serviceName")]
    service_name: String,
}

#[derive(Clone, Deserialize)]
struct Assignment {
    #[serde(alias = "clusterName")]
    cluster_name: String,
    #[serde(default)]
    endpoints: Vec<LocalityEndpoints>,
}

#[derive(Clone, Deserialize)]
struct LocalityEndpoints {
    #[serde(default)]
    locality: Locality,
    #[serde(default, alias = "lbEndpoints")]
    lb_endpoints: Vec<LbEndpoint>,
}

#[derive(Clone, Default, Deserialize)]
struct Locality {
    #[serde(default)]
    zone: String,
    #[serde(default, alias = "subZone")]
    sub_zone: String,
}

#[derive(Clone, Deserialize)]
struct LbEndpoint {
    endpoint: Endpoint,
    #[serde(default, alias = "healthStatus")]
    health_status: HealthStatus,
    #[serde(default)]
    metadata: Metadata,
}

#[derive(Clone, Deserialize)]
struct Endpoint {
    address: Address,
    #[serde(default)]
    hostname: String,
}

#[derive(Clone, Deserialize)]
struct Address {
    #[serde(alias = "socketAddress")]
    socket_address: SocketAddress,
}

#[derive(Clone, Deserialize)]
struct SocketAddress {
    address: IpAddr,
    #[serde(alias = "portValue")]
    port_value: u16,
}

/// JSON may give an enum by its name or by its number.
#[derive(Clone, Deserialize)]
#[serde(untagged)]
enum HealthStatus {
    Name(String),
    Number(u8),
}

impl Default for HealthStatus {
    fn default() -> Self {
        HealthStatus::Number(0)
    }
}

impl HealthStatus {
    fn health(&self) -> Health {
        match self {
            HealthStatus::Name(name) if name == "DRAINING" => Health::Draining,
            HealthStatus::Name(name) if name == "UNHEALTHY" || name == "TIMEOUT" => Health::Gone,
            HealthStatus::Number(3) => Health::Draining,
            HealthStatus::Number(2 | 4) => Health::Gone,
            // Unknown, healthy and degraded endpoints take requests.
            _ => Health::Up,
        }
    }
}

#[derive(Clone, Default, Deserialize)]
struct Metadata {
    #[serde(default, alias = "filterMetadata")]
    filter_metadata: FilterMetadata,
}

#[derive(Clone, Default, Deserialize)]
struct FilterMetadata {
    #[serde(default)]
    frosttrail: FrosttrailMetadata,
}

/// Metadata that clusters and endpoints may give under the name `frosttrail`.
#[derive(Clone, Default, Deserialize)]
struct FrosttrailMetadata {
    kind: Option<String>,
    uid: Option<String>,
    cell: Option<u64>,
    boot_ms: Option<u64>,
}

/// The last accepted response for one type of resource.
struct ResourceState<T> {
    version: String,
    nonce: String,
    names: Vec<String>,
    resources: Vec<T>,
}

impl<T> Default for ResourceState<T> {
    fn default() -> Self {
        ResourceState {
            version: String::new(),
            nonce: String::new(),
            names: Vec::new(),
            resources: Vec::new(),
        }
    }
}

/// Reads the list of members from an xDS server by polling it.
pub struct XdsDiscovery {
    config: XdsConfig,
    node: String,
    names: ConfiguredNames,
    clock: Clock,
    addresses: Arc<AddressTable>,
    log: Logger,
    clusters: ResourceState<Cluster>,
    assignments: ResourceState<Assignment>,
    last_entries: Option<Vec<ServerEntry>>,
}

impl XdsDiscovery {
    /// Starts without members; the first response lists them.
    pub fn new(
        config: XdsConfig,
        node: String,
        names: ConfiguredNames,
        clock: Clock,
        addresses: Arc<AddressTable>,
        log: Logger,
    ) -> Self {
        let (clusters, assignments) = (ResourceState::default(), ResourceState::default());
        XdsDiscovery { config, node, names, clock, addresses, log, clusters, assignments, last_entries: None }
    }

    /// Fetches clusters and endpoints and returns the current list.
    async fn poll(&mut self) -> Result<Vec<ServerEntry>, DiscoveryError> {
        let server = self.config.server;
        fetch_resources(server, &self.node, "clusters", CLUSTER_TYPE, Vec::new(), &mut self.clusters).await?;
        let eds_clusters = self.clusters.resources.iter().filter(|c| c.load_assignment.is_none());
        let service_names: Vec<String> = eds_clusters.map(|c| eds_service_name(c).to_string()).collect();
        if service_names.is_empty() {
            self.assignments = ResourceState::default();
        } else {
            fetch_resources(
                server,
                &self.node,
                "endpoints",
                ENDPOINT_TYPE,
                service_names,
                &mut self.assignments,
            )
            .await?;
        }
        Ok(self.server_entries())
    }

    fn server_entries(&self) -> Vec<ServerEntry> {
        let mut entries = Vec::new();
        for cluster in &self.clusters.resources {
            let kind = cluster.metadata.filter_metadata.frosttrail.kind.as_deref().unwrap_or(&cluster.name);
            let Ok(kind) = index_of(self.names.kinds(), kind, "cluster") else {
                warn!(self.log, "skipping a cluster of an unknown kind"; "name" => &cluster.name);
                continue;
            };
            let inline = cluster.load_assignment.iter();
            let is_named = |a: &&Assignment| a.cluster_name == eds_service_name(cluster);
            let eds = self.assignments.resources.iter().filter(is_named);
            // Endpoints in the cluster itself replace those from the endpoint discovery service.
            let assignments = inline.chain(eds.filter(|_| cluster.load_assignment.is_none()));
            for endpoints in assignments.flat_map(|a| &a.endpoints) {
                entries.extend(
                    endpoints.lb_endpoints.iter().filter_map(|e| self.server_entry(kind, endpoints, e)),
                );
            }
        }
        entries
    }

    fn server_entry(
        &self,
        kind: usize,
        endpoints: &LocalityEndpoints,
        endpoint: &LbEndpoint,
    ) -> Option<ServerEntry> {
        let locality = &endpoints.locality;
        let Ok(zone) = index_of(self.names.zones(), &locality.zone, "zone") else {
            warn!(self.log, "skipping an endpoint in an unknown zone"; "zone" => &locality.zone);
            return None;
        };
        let SocketAddress { address, port_value } = endpoint.endpoint.address.socket_address;
        let address = SocketAddr::new(address, port_value);
        let metadata = &endpoint.metadata.filter_metadata.frosttrail;
        let hostname = Some(&endpoint.endpoint.hostname).filter(|name| !name.is_empty());
        let server = metadata.uid.as_ref().or(hostname).cloned().unwrap_or_else(|| address.to_string());
        let server = Id::from(server.as_str());
        self.addresses.set(server.clone(), address);
        Some(ServerEntry {
            server,
            rack: metadata.cell.unwrap_or_else(|| rack_number(locality)),
            kind,
            zone,
            started: metadata.boot_ms.filter(|ms| *ms > 0).map_or(0, |ms| self.clock.from_unix_ms(ms)),
            health: endpoint.health_status.health(),
        })
    }
}

impl MembershipSource for XdsDiscovery {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        loop {
            if self.last_entries.is_some() {
                sleep(self.config.refresh).await;
            }
            match self.poll().await {
                Ok(entries) if self.last_entries.as_ref() == Some(&entries) => {}
                Ok(entries) => {
                    self.last_entries = Some(entries.clone());
                    let update = MembershipUpdate { kind: ListUpdateKind::Full, entries };
                    self.addresses.apply_update(&update);
                    return Some(update);
                }
                Err(e) => {
                    info!(self.log, "xDS request failed; retrying"; "why" => %e);
                    sleep(self.config.refresh).await;
                }
            }
        }
    }
}

/// Returns the name under which the endpoints of a cluster are requested.
fn eds_service_name(cluster: &Cluster) -> &str {
    let service_name = cluster.eds_cluster_config.as_ref().map(|eds| eds.service_name.as_str());
    service_name.filter(|name| !name.is_empty()).unwrap_or(&cluster.name)
}

/// Returns the number of a rack. It is the same at every conductor, as the hash has no seed.
fn rack_number(locality: &Locality) -> u64 {
    let mut hash = FnvHasher::default();
    (&locality.zone, &locality.sub_zone).hash(&mut hash);
    hash.finish()
}

/// Fetches one type of resource. The request names the last accepted version, so that the server may respond
/// that nothing has changed. An invalid response leaves that version in force.
async fn fetch_resources<T: DeserializeOwned>(
    server: SocketAddr,
    node: &str,
    path: &'static str,
    type_name: &'static str,
    names: Vec<String>,
    state: &mut ResourceState<T>,
) -> Result<(), DiscoveryError> {
    // The known version belongs to the previous set of names.
    if state.names != names {
        (state.version, state.names) = (String::new(), names);
    }
    let body = json!({
        "version_info": state.version,
        "response_nonce": state.nonce,
        "node": {"id": node, "cluster": "frosttrail"},
        "resource_names": state.names,
        "type_url": format!("type.googleapis.com/{type_name}"),
    });
    let target = Uri::try_from(format!("/v3/discovery:{path}")).map_err(|_| DiscoveryError::Closed)?;
    let OpenResponse { response, driver: _driver } =
        send_request(server, Method::POST, target, Bytes::from(body.to_string()), RESPONSE_TIMEOUT).await?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_MODIFIED => return Ok(()),
        status => return Err(DiscoveryError::Status(status)),
    }
    let resource_response: DiscoveryResponse<T> =
        serde_json::from_slice(&read_body(response.into_body(), MAX_BODY_BYTES, RESPONSE_TIMEOUT).await?)?;
    (state.version, state.nonce, state.resources) =
        (resource_response.version_info, resource_response.nonce, resource_response.resources);
    Ok(())
}
