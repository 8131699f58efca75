//! Fronts, which translate the protocols of clients into requests to the core, and its answers into
//! responses.

mod arrival;
mod body;
pub mod chat;
mod clients;
mod connection;
mod framing;
mod input;
mod listener;
pub mod platform;
mod socket;

pub use body::ResponseBody;
pub use listener::{ClientListeners, ClientTimeouts, Service};
