//! Members from a server that speaks Envoy's xDS, version 3, over REST with JSON: clusters, then the
//! endpoints of each. A cluster stands for one kind of server; see the README for how they map.

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

use super::http::{call, whole, Called, ListError};
use crate::config::XdsConfig;
use crate::upstream::AddressTable;

/// An answer must be whole within this time.
const ANSWER: Duration = Duration::from_secs(2);
/// No list is longer.
const BODY_MOST: usize = 8 << 20;
const CLUSTERS: &str = "envoy.config.cluster.v3.Cluster";
const ENDPOINTS: &str = "envoy.config.endpoint.v3.ClusterLoadAssignment";

#[derive(Deserialize)]
struct Answer<T> {
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
    endpoints: Vec<Locality>,
}

#[derive(Clone, Deserialize)]
struct Locality {
    #[serde(default)]
    locality: Place,
    #[serde(default, alias = "lbEndpoints")]
    lb_endpoints: Vec<LbEndpoint>,
}

#[derive(Clone, Default, Deserialize)]
struct Place {
    #[serde(default)]
    zone: String,
    #[serde(default, alias = "subZone")]
    sub_zone: String,
}

#[derive(Clone, Deserialize)]
struct LbEndpoint {
    endpoint: Endpoint,
    #[serde(default, alias = "healthStatus")]
    health_status: Status,
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

/// In JSON an enum may stand by its name or its number.
#[derive(Clone, Deserialize)]
#[serde(untagged)]
enum Status {
    Name(String),
    Number(u8),
}

impl Default for Status {
    fn default() -> Self {
        Status::Number(0)
    }
}

impl Status {
    fn health(&self) -> Health {
        match self {
            Status::Name(name) if name == "DRAINING" => Health::Draining,
            Status::Name(name) if name == "UNHEALTHY" || name == "TIMEOUT" => Health::Gone,
            Status::Number(3) => Health::Draining,
            Status::Number(2 | 4) => Health::Gone,
            // Unknown, healthy, degraded: it takes requests.
            _ => Health::Up,
        }
    }
}

#[derive(Clone, Default, Deserialize)]
struct Metadata {
    #[serde(default, alias = "filterMetadata")]
    filter_metadata: Filters,
}

#[derive(Clone, Default, Deserialize)]
struct Filters {
    #[serde(default)]
    frosttrail: Own,
}

/// What clusters and endpoints may say under the name `frosttrail`.
#[derive(Clone, Default, Deserialize)]
struct Own {
    kind: Option<String>,
    uid: Option<String>,
    cell: Option<u64>,
    boot_ms: Option<u64>,
}

/// The state of one type of resource: what was accepted last.
struct Held<T> {
    version: String,
    nonce: String,
    names: Vec<String>,
    resources: Vec<T>,
}

impl<T> Default for Held<T> {
    fn default() -> Self {
        Held { version: String::new(), nonce: String::new(), names: Vec::new(), resources: Vec::new() }
    }
}

/// Members from an xDS server, asked again and again.
pub struct Xds {
    config: XdsConfig,
    node: String,
    names: ConfiguredNames,
    clock: Clock,
    book: Arc<AddressTable>,
    log: Logger,
    clusters: Held<Cluster>,
    assignments: Held<Assignment>,
    told: Option<Vec<ServerEntry>>,
}

impl Xds {
    /// Nothing is known before the first answer.
    pub fn new(
        config: XdsConfig,
        node: String,
        names: ConfiguredNames,
        clock: Clock,
        book: Arc<AddressTable>,
        log: Logger,
    ) -> Self {
        let (clusters, assignments) = (Held::default(), Held::default());
        Xds { config, node, names, clock, book, log, clusters, assignments, told: None }
    }

    /// Asks for clusters and endpoints; the list as it now is.
    async fn poll(&mut self) -> Result<Vec<ServerEntry>, ListError> {
        let server = self.config.server;
        refresh(server, &self.node, "clusters", CLUSTERS, Vec::new(), &mut self.clusters).await?;
        let by_eds = self.clusters.resources.iter().filter(|c| c.load_assignment.is_none());
        let services: Vec<String> = by_eds.map(|c| service(c).to_string()).collect();
        if services.is_empty() {
            self.assignments = Held::default();
        } else {
            refresh(server, &self.node, "endpoints", ENDPOINTS, services, &mut self.assignments).await?;
        }
        Ok(self.entries())
    }

    fn entries(&self) -> Vec<ServerEntry> {
        let mut entries = Vec::new();
        for cluster in &self.clusters.resources {
            let kind = cluster.metadata.filter_metadata.frosttrail.kind.as_deref().unwrap_or(&cluster.name);
            let Ok(kind) = index_of(self.names.kinds(), kind, "cluster") else {
                warn!(self.log, "a cluster is of no known kind"; "name" => &cluster.name);
                continue;
            };
            let own = cluster.load_assignment.iter();
            let named = |a: &&Assignment| a.cluster_name == service(cluster);
            let eds = self.assignments.resources.iter().filter(named);
            // What stands in the cluster itself comes in place of what would have to be asked for.
            let assignments = own.chain(eds.filter(|_| cluster.load_assignment.is_none()));
            for locality in assignments.flat_map(|a| &a.endpoints) {
                entries.extend(locality.lb_endpoints.iter().filter_map(|e| self.entry(kind, locality, e)));
            }
        }
        entries
    }

    fn entry(&self, kind: usize, locality: &Locality, member: &LbEndpoint) -> Option<ServerEntry> {
        let place = &locality.locality;
        let Ok(zone) = index_of(self.names.zones(), &place.zone, "zone") else {
            warn!(self.log, "an endpoint is in no known zone"; "zone" => &place.zone);
            return None;
        };
        let SocketAddress { address, port_value } = member.endpoint.address.socket_address;
        let address = SocketAddr::new(address, port_value);
        let own = &member.metadata.filter_metadata.frosttrail;
        let hostname = Some(&member.endpoint.hostname).filter(|name| !name.is_empty());
        let server = own.uid.as_ref().or(hostname).cloned().unwrap_or_else(|| address.to_string());
        let server = Id::from(server.as_str());
        self.book.set(server.clone(), address);
        Some(ServerEntry {
            server,
            rack: own.cell.unwrap_or_else(|| cell(place)),
            kind,
            zone,
            started: own.boot_ms.filter(|ms| *ms > 0).map_or(0, |ms| self.clock.from_unix_ms(ms)),
            health: member.health_status.health(),
        })
    }
}

impl MembershipSource for Xds {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        loop {
            if self.told.is_some() {
                sleep(self.config.refresh).await;
            }
            match self.poll().await {
                Ok(entries) if self.told.as_ref() == Some(&entries) => {}
                Ok(entries) => {
                    self.told = Some(entries.clone());
                    let news = MembershipUpdate { kind: ListUpdateKind::Full, entries };
                    self.book.apply_update(&news);
                    return Some(news);
                }
                Err(e) => {
                    info!(self.log, "xds: asked in vain"; "why" => %e);
                    sleep(self.config.refresh).await;
                }
            }
        }
    }
}

/// The name under which a cluster's endpoints are asked for.
fn service(cluster: &Cluster) -> &str {
    let named = cluster.eds_cluster_config.as_ref().map(|eds| eds.service_name.as_str());
    named.filter(|name| !name.is_empty()).unwrap_or(&cluster.name)
}

/// A rack's number: the same at every conductor, as this hash has no seed.
fn cell(place: &Place) -> u64 {
    let mut hash = FnvHasher::default();
    (&place.zone, &place.sub_zone).hash(&mut hash);
    hash.finish()
}

/// Asks for one type of resource. The request names the version that was accepted last, so that a server
/// may answer that nothing has changed; an answer that can't be read leaves that version in force.
async fn refresh<T: DeserializeOwned>(
    server: SocketAddr,
    node: &str,
    path: &'static str,
    type_name: &'static str,
    names: Vec<String>,
    held: &mut Held<T>,
) -> Result<(), ListError> {
    // Another set of names is another question, to which no version has been given yet.
    if held.names != names {
        (held.version, held.names) = (String::new(), names);
    }
    let body = json!({
        "version_info": held.version,
        "response_nonce": held.nonce,
        "node": {"id": node, "cluster": "frosttrail"},
        "resource_names": held.names,
        "type_url": format!("type.googleapis.com/{type_name}"),
    });
    let target = Uri::try_from(format!("/v3/discovery:{path}")).map_err(|_| ListError::Ended)?;
    let Called { response, driver: _driver } =
        call(server, Method::POST, target, Bytes::from(body.to_string()), ANSWER).await?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_MODIFIED => return Ok(()),
        status => return Err(ListError::Status(status)),
    }
    let answer: Answer<T> = serde_json::from_slice(&whole(response.into_body(), BODY_MOST, ANSWER).await?)?;
    (held.version, held.nonce, held.resources) = (answer.version_info, answer.nonce, answer.resources);
    Ok(())
}
