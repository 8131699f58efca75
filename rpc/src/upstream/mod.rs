//! The way to servers over gRPC: attempts and their outcomes, on HTTP/2.

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
pub use attempt::Answer;
use attempt::Calls;
use connection::Pool;
pub use messages::never_ran;

/// A server: where it is and what it does.
struct Known {
    at: SocketAddr,
    role: Role,
    pool: Arc<Pool>,
}

/// Which servers there are, shared by the list of members, which tells of them, and the way to them.
#[derive(Default)]
pub struct AddressTable {
    upstream: RwLock<HashMap<Id, Known>>,
}

impl AddressTable {
    /// A server is there, or elsewhere than before.
    pub fn set(&self, id: Id, at: SocketAddr, role: Role) {
        let mut upstream = self.upstream.write().unwrap_or_else(|e| e.into_inner());
        if upstream.get(&id).is_none_or(|known| known.at != at) {
            upstream.insert(id, Known { at, role, pool: Arc::default() });
        }
    }

    /// A server is gone; what runs on its connections goes on.
    pub fn remove(&self, id: &Id) {
        self.upstream.write().unwrap_or_else(|e| e.into_inner()).remove(id);
    }

    fn get(&self, id: &Id) -> Option<(SocketAddr, Role, Arc<Pool>)> {
        let upstream = self.upstream.read().unwrap_or_else(|e| e.into_inner());
        upstream.get(id).map(|known| (known.at, known.role, known.pool.clone()))
    }
}

/// A request as it travels to servers, written out once.
#[derive(Clone, Debug)]
pub struct Call {
    framed: Bytes,
}

impl Call {
    /// `None`: longer than a message may be.
    pub fn new(request: &proto::Request) -> Option<Self> {
        let framed = messages::framed(request);
        (framed.len() <= MOST_REQUEST).then_some(Call { framed })
    }
}

/// The longest request, as on the platform's wire.
const MOST_REQUEST: usize = 256 << 10;

/// The way to servers.
pub struct GrpcUpstream {
    book: Arc<AddressTable>,
    connect: Duration,
}

impl GrpcUpstream {
    /// `connect`: a connection that has not come up within this time never will.
    pub fn new(book: Arc<AddressTable>, connect: Duration) -> Self {
        GrpcUpstream { book, connect }
    }

    fn calls(&self, server: &Id, permit: SendPermit) -> Option<(Calls, Role)> {
        let (at, role, pool) = self.book.get(server)?;
        Some((Calls { at, pool, connect: self.connect, permit }, role))
    }
}

impl Upstream for GrpcUpstream {
    type Call = Call;
    type Events = Answer;

    async fn attempt(
        &self,
        server: &Id,
        _: &Id,
        call: &Call,
        wait: Duration,
        permit: &SendPermit,
    ) -> AttemptReply<Answer> {
        match self.calls(server, permit.clone()) {
            Some((calls, Role::Prefill)) => calls.read(call.framed.clone(), wait).await,
            Some((calls, Role::Decode | Role::Mixed)) => calls.write(call.framed.clone(), wait).await,
            None => AttemptReply::Ended(Outcome::NoConnection, None),
        }
    }

    async fn release(&self, server: &Id, request: &Id) -> bool {
        let Some((calls, _)) = self.calls(server, SendPermit::unconditional()) else { return false };
        let request = proto::ReleaseRequest { id: request.to_string() };
        calls.unary::<proto::Released>("Release", messages::framed(&request), RELEASE).await.is_ok()
    }

    async fn probe(&self, server: &Id) -> (Outcome, Option<LoadReport>) {
        let Some((calls, _)) = self.calls(server, SendPermit::unconditional()) else {
            return (Outcome::NoConnection, None);
        };
        let request = messages::framed(&proto::ProbeRequest {});
        match calls.unary::<proto::Load>("Probe", request, PROBE).await {
            Ok(load) => (Outcome::Served, Some(load_of(load))),
            Err((outcome, load)) => (outcome, load.map(load_of)),
        }
    }
}

/// For one server to take a release; whoever asks has less patience.
const RELEASE: Duration = Duration::from_millis(500);
/// For a probe.
const PROBE: Duration = Duration::from_millis(500);

fn load_of(load: proto::Load) -> LoadReport {
    let proto::Load { memory, waiting_ktokens, slots, queued, outstanding } = load;
    LoadReport { memory, waiting_ktokens, slots, queued, outstanding }
}
