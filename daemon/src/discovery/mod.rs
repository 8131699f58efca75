//! Sources of the list of members: the platform's discovery, or a server that speaks Envoy's xDS.

pub mod backoff;
mod http;
mod listing_decoder;
mod platform;
mod start_times;
mod xds;

pub use backoff::Backoff;
pub use platform::{DiscoveryConfig, Listing, PlatformDiscovery};
pub use xds::XdsDiscovery;
