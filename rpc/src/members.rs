//! Members that are told once and stay.

use std::net::SocketAddr;
use std::sync::Arc;

use frosttrail::{Health, Id, ListUpdateKind, ServerEntry, Settings};
use frosttrail_core::{MembershipSource, MembershipUpdate};

use crate::upstream::AddressTable;

/// One of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its id, the same at every conductor.
    pub id: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its kind, an index into [`Settings::roles`].
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// Its rack.
    pub rack: u64,
}

/// A list that does not change.
pub struct StaticMembership(Option<MembershipUpdate>);

impl StaticMembership {
    /// Enters the members into the book.
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
        StaticMembership(Some(MembershipUpdate { form: ListUpdateKind::Full, entries: entries.collect() }))
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
