//! Keeps a connection to one address open for as long as a transfer or a push needs it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::connection::serve;
use super::session_manager::SessionManager;
use crate::receiver::RouteId;

/// Initial and maximum delay between connection attempts. Short, as a KV cache is held for less than a
/// second.
const RECONNECT_DELAYS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));

pub(crate) async fn keep_connected(manager: Arc<SessionManager>, route: RouteId, address: SocketAddr) {
    let mut delay = RECONNECT_DELAYS.0;
    while !manager.closing.is_cancelled() && manager.keep_dialing(route) {
        let is_established =
            match timeout(manager.config.handshake_timeout, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => serve(manager.clone(), stream, address, Some(route)).await,
                Ok(Err(e)) => {
                    debug!(manager.log, "connect failed; retrying"; "to" => address, "why" => %e);
                    false
                }
                Err(_) => false,
            };
        delay = if is_established { RECONNECT_DELAYS.0 } else { (delay * 2).min(RECONNECT_DELAYS.1) };
        sleep(delay).await;
    }
}
