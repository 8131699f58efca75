//! Clients that crowd a conductor: one that sends unsound requests at full speed, and many that stop halfway
//! through a request. None of their requests may reach a server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Requests that a flooding client writes at once.
const FLOOD_BATCH: usize = 32;
/// Clients that stop halfway.
const HALFWAY_CLIENTS: usize = 96;
/// Fields of a head that does not end.
const HEAD_FIELDS: usize = 60;
/// The length that a request states of which only the half is sent.
const STATED_BODY_BYTES: usize = 250 << 10;
/// A client that can't write for this long gives up its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that is answered without any server, under a name that is new each time.
fn unsound_request(number: usize) -> String {
    let post = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    match number % 4 {
        0 => "GET /_health HTTP/1.1\r\nhost: x\r\n\r\n".into(),
        1 => format!("GET /{number} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"),
        2 => format!("{post}x-txn: f-{number}\r\nx-lane: class-{number}\r\ncontent-length: 2\r\n\r\n{{}}"),
        _ => format!("{post}x-lane: ask\r\nx-org: org-{number}\r\ncontent-length: 2\r\n\r\n{{}}"),
    }
}

/// Sends unsound requests at full speed, one connection after another, and reads all answers.
pub(crate) async fn flood(address: SocketAddr, duration: Duration) {
    let (end, mut number) = (Instant::now() + duration, 0);
    while Instant::now() < end {
        let Ok(stream) = TcpStream::connect(address).await else {
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        let (mut reader, mut writer) = stream.into_split();
        let reading = async {
            let mut bytes = [0; 16 << 10];
            while reader.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
        };
        let writing = async {
            while Instant::now() < end {
                let batch: String = (number..number + FLOOD_BATCH).map(unsound_request).collect();
                number += FLOOD_BATCH;
                if !matches!(timeout(WRITE_TIMEOUT, writer.write_all(batch.as_bytes())).await, Ok(Ok(()))) {
                    return;
                }
            }
        };
        tokio::select! {
            () = reading => {}
            () = writing => {}
        }
    }
}

/// Connects clients that send a half of a large request, or a head of many fields that does not end.
pub(crate) async fn stop_halfway(address: SocketAddr, duration: Duration) {
    let mut clients = JoinSet::new();
    for client in 0..HALFWAY_CLIENTS {
        clients.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            let mut text = String::from("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n");
            if client % 2 == 0 {
                (0..HEAD_FIELDS).for_each(|field| text.push_str(&format!("f{field}:\r\n")));
            } else {
                text.push_str(&format!("x-txn: half-{client}\r\nx-lane: ask\r\nx-remaining: 3000m\r\n"));
                text.push_str(&format!("content-length: {STATED_BODY_BYTES}\r\n\r\n"));
                text.push_str(&"x".repeat(STATED_BODY_BYTES / 2));
            }
            let _ = timeout(duration, stream.write_all(text.as_bytes())).await;
            sleep(duration).await;
        });
    }
    clients.join_all().await;
}
