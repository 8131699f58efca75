//! Tests of private items of `daemon/src/upstream/connection.rs`.

use std::io::Read as _;

use tokio::sync::Semaphore;

use super::*;

/// No task runs between the drop and the check at the server's side, so whatever the conductor writes next,
/// such as a rejection to the client, follows the end of the attempt.
#[tokio::test]
async fn a_dropped_connection_closes_its_socket_at_once() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let permit = Arc::new(Semaphore::new(1)).try_acquire_owned().unwrap();
    let connection = Connection::open(listener.local_addr().unwrap(), permit).await.unwrap();
    let (mut server_side, _) = listener.accept().unwrap();
    server_side.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    drop(connection);
    assert_eq!(server_side.read(&mut [0; 1]).map_err(|e| e.kind()), Ok(0), "the connection has ended");
}
