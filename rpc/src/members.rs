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
    pub at: SocketAddr,
    /// Its kind, an index into [`Settings::roles`].
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// Its rack.
    pub cell: u64,
}

/// A list that does not change.
pub struct Fixed(Option<MembershipUpdate>);

impl Fixed {
    /// Enters the members into the book.
    pub fn new(members: &[Member], settings: &Settings, book: &Arc<AddressTable>) -> Self {
        let known = members.iter().filter_map(|m| Some((m, settings.roles.get(m.kind)?)));
        let entries = known.map(|(m, role)| {
            book.set(Id::from(m.id.as_str()), m.at, *role);
            ServerEntry {
                server: Id::from(m.id.as_str()),
                rack: m.cell,
                kind: m.kind,
                zone: m.zone,
                started: 0,
                health: Health::Up,
            }
        });
        Fixed(Some(MembershipUpdate { kind: ListUpdateKind::Full, entries: entries.collect() }))
    }
}

impl MembershipSource for Fixed {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        match self.0.take() {
            Some(news) => Some(news),
            None => std::future::pending().await,
        }
    }
}
