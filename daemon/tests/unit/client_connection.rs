use std::io::{Read, Write};

use hyper::Response;
use slog::Logger;

use super::*;
use crate::front::body::{full_response, ResponseBody, ServiceResult};
use crate::upstream::ServerEvents;

/// Responds to every request at once.
struct Answers;

impl Service for Answers {
    type Events = ServerEvents;

    async fn respond(&self, _: Request<Incoming>) -> ServiceResult<ServerEvents> {
        Ok(full_response(StatusCode::OK, "text/plain", "here"))
    }

    fn reject(&self, error: InputError) -> Response<ResponseBody<ServerEvents>> {
        full_response(error.status(), "text/plain", "")
    }
}

/// Guards against closing an evicted connection with a request unread in its socket, which resets it. This
/// happens if the process stalls right after accepting the connection, before the runtime polls its socket.
#[tokio::test]
async fn an_evicted_connection_is_polled_once_more_before_it_closes() {
    let timeouts = ClientTimeouts {
        request_arrival: Duration::from_secs(2),
        idle: Duration::from_secs(5),
        write: Duration::from_secs(20),
    };
    let closes = frosttrail_core::Metrics::new().unwrap().client_closes;
    let listeners = ClientListeners::new(1, timeouts, closes, Logger::root(slog::Discard, slog::o!()));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let (accepted, _) = listener.accept().unwrap();
    accepted.set_nonblocking(true).unwrap();
    let slot = listeners.limiter.acquire_slot().await;
    slot.eviction_token().cancel();
    listeners.serve_connection(
        TcpStream::from_std(accepted).unwrap(),
        Instant::now(),
        slot,
        Arc::new(Answers),
    );
    let read = tokio::task::spawn_blocking(move || {
        let mut answer = String::new();
        client.read_to_string(&mut answer).map(|_| answer)
    });
    let answer = read.await.unwrap().expect("the connection was reset");
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("here"), "{answer:?}");
}
