//! Sources of the list of members: the platform's discovery, or a server that speaks Envoy's xDS.

pub mod backoff;
mod http;
mod objects;
mod platform;
mod starts;
mod xds;

pub use backoff::Backoff;
pub use platform::{DiscoveryConfig, Listing, PlatformDiscovery};
pub use xds::XdsDiscovery;
