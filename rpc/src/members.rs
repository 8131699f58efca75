//! A fixed list of servers, for clients without service discovery.

use std::net::SocketAddr;
use std::sync::Arc;

use frosttrail::{Health, Id, ListUpdateKind, ServerEntry, Settings};
use frosttrail_core::{MembershipSource, MembershipUpdate};

use crate::upstream::AddressTable;

/// A server of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifier, the same at every conductor.
    pub id: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Kind, an index into [`Settings::roles`].
    pub kind: usize,
    /// Zone.
    pub zone: usize,
    /// Rack.
    pub rack: u64,
}

/// A source that reports its servers once and never changes.
pub struct StaticMembership(Option<MembershipUpdate>);

impl StaticMembership {
    /// Creates the source, and adds the servers to the address table. Skips servers of an unknown kind.
    pub fn new(members: &[Member], settings: &Settings, addresses: &Arc<AddressTable>) -> Self {
        let members_with_role =
            members.iter().filter_map(|member| Some((member, settings.roles.get(member.kind)?)));
        let entries = members_with_role.map(|(member, role)| {
            addresses.set(Id::from(member.id.as_str()), member.address, *role);
            ServerEntry {
                server: Id::from(member.id.as_str()),
                rack: member.rack,
                kind: member.kind,
                zone: member.zone,
                started: 0,
                health: Health::Up,
            }
        });
        StaticMembership(Some(MembershipUpdate { kind: ListUpdateKind::Full, entries: entries.collect() }))
    }
}

impl MembershipSource for StaticMembership {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        match self.0.take() {
            Some(update) => Some(update),
            None => std::future::pending().await,
        }
    }
}
