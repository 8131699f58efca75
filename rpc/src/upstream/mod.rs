//! Sends attempts to servers over gRPC, and reports their outcomes.

mod attempt;
mod connection;
mod messages;
mod meter;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, LoadReport, Outcome, Role};
use frosttrail_core::{AttemptReply, SendPermit, Upstream};

use crate::proto;
pub use attempt::GrpcAnswer;
use attempt::ServerClient;
use connection::ConnectionPool;
pub use messages::never_ran_header;

/// The address, the role and the connections of a server.
struct KnownServer {
    address: SocketAddr,
    role: Role,
    pool: Arc<ConnectionPool>,
}

/// The known servers. The source of the server list updates the table, and the upstream reads it.
#[derive(Default)]
pub struct AddressTable {
    servers: RwLock<HashMap<Id, KnownServer>>,
}

impl AddressTable {
    /// Adds a server, or replaces it if its address has changed.
    pub fn set(&self, id: Id, address: SocketAddr, role: Role) {
        let mut servers = self.servers.write().unwrap_or_else(|e| e.into_inner());
        if servers.get(&id).is_none_or(|known| known.address != address) {
            servers.insert(id, KnownServer { address, role, pool: Arc::default() });
        }
    }

    /// Removes a server. Streams on its connections continue.
    pub fn remove(&self, id: &Id) {
        self.servers.write().unwrap_or_else(|e| e.into_inner()).remove(id);
    }

    fn get(&self, id: &Id) -> Option<(SocketAddr, Role, Arc<ConnectionPool>)> {
        let servers = self.servers.read().unwrap_or_else(|e| e.into_inner());
        servers.get(id).map(|known| (known.address, known.role, known.pool.clone()))
    }
}

/// A request in its encoded form, which all its attempts share.
#[derive(Clone, Debug)]
pub struct EncodedRequest {
    encoded: Bytes,
}

impl EncodedRequest {
    /// Encodes a request. Returns `None` if it is too long.
    pub fn new(request: &proto::Request) -> Option<Self> {
        let encoded = messages::encode_message(request);
        (encoded.len() <= MAX_REQUEST_BYTES).then_some(EncodedRequest { encoded })
    }
}

/// Maximum length of an encoded request, as in the platform's protocol.
const MAX_REQUEST_BYTES: usize = 256 << 10;

/// Reaches servers over gRPC.
pub struct GrpcUpstream {
    addresses: Arc<AddressTable>,
    connect_timeout: Duration,
}

impl GrpcUpstream {
    /// Creates an upstream. A connection that is not established within `connect_timeout` counts as failed.
    pub fn new(addresses: Arc<AddressTable>, connect_timeout: Duration) -> Self {
        GrpcUpstream { addresses, connect_timeout }
    }

    fn server_client(&self, server: &Id, permit: SendPermit) -> Option<(ServerClient, Role)> {
        let (address, role, pool) = self.addresses.get(server)?;
        Some((ServerClient { address, pool, connect_timeout: self.connect_timeout, permit }, role))
    }
}

impl Upstream for GrpcUpstream {
    type Call = EncodedRequest;
    type Events = GrpcAnswer;

    async fn attempt(
        &self,
        server: &Id,
        _: &Id,
        call: &EncodedRequest,
        wait: Duration,
        permit: &SendPermit,
    ) -> AttemptReply<GrpcAnswer> {
        match self.server_client(server, permit.clone()) {
            Some((client, Role::Prefill)) => client.prefill(call.encoded.clone(), wait).await,
            Some((client, Role::Decode | Role::Mixed)) => client.decode(call.encoded.clone(), wait).await,
            None => AttemptReply::Ended(Outcome::NoConnection, None),
        }
    }

    async fn release(&self, server: &Id, request: &Id) -> bool {
        let Some((client, _)) = self.server_client(server, SendPermit::unconditional()) else { return false };
        let request = proto::ReleaseRequest { id: request.to_string() };
        client
            .call_unary::<proto::Released>("Release", messages::encode_message(&request), RELEASE_TIMEOUT)
            .await
            .is_ok()
    }

    async fn probe(&self, server: &Id) -> (Outcome, Option<LoadReport>) {
        let Some((client, _)) = self.server_client(server, SendPermit::unconditional()) else {
            return (Outcome::NoConnection, None);
        };
        let request = messages::encode_message(&proto::ProbeRequest {});
        match client.call_unary::<proto::Load>("Probe", request, PROBE_TIMEOUT).await {
            Ok(load) => (Outcome::Served, Some(load_report(load))),
            Err((outcome, load)) => (outcome, load.map(load_report)),
        }
    }
}

/// Time for a server to confirm a release. Callers wait for less than this.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a server to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

fn load_report(load: proto::Load) -> LoadReport {
    let proto::Load { memory, waiting_ktokens, slots, queued, outstanding } = load;
    LoadReport { memory, waiting_ktokens, slots, queued, outstanding }
}
