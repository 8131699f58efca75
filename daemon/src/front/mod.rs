//! Fronts: they translate a client's wire into requests for the core, and answers back.

mod body;
pub mod chat;
mod clients;
mod framing;
mod input;
mod listener;
pub mod platform;
mod socket;

pub use body::ResponseBody;
pub use listener::{ClientListeners, ClientTimeouts, Service};
