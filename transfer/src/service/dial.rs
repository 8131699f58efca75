//! Keeps a connection to one address for as long as a move or an announcement needs it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::connection::serve;
use super::hub::Hub;
use crate::receiver::Route;

/// Between tries, at first and at most: a state waits for under a second.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));

pub(crate) async fn keep(hub: Arc<Hub>, route: Route, to: SocketAddr) {
    let mut pause = PAUSE.0;
    while !hub.closing.is_cancelled() && hub.still_needed(route) {
        let greeted = match timeout(hub.config.handshake_timeout, TcpStream::connect(to)).await {
            Ok(Ok(stream)) => serve(hub.clone(), stream, to, Some(route)).await,
            Ok(Err(e)) => {
                debug!(hub.log, "no connection"; "to" => to, "why" => %e);
                false
            }
            Err(_) => false,
        };
        pause = if greeted { PAUSE.0 } else { (pause * 2).min(PAUSE.1) };
        sleep(pause).await;
    }
}
