//! The limit on memory: however many large requests arrive at once, and however they arrive, a process stays
//! below `limits.memory_mb`, answers each request and serves the next one.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};
use support::chat::start_with_chat;
use support::operations::*;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The largest body that the protocol allows.
const MAX_BODY_BYTES: usize = 256 << 10;
/// A third of the descriptors, the most that clients hold for requests.
const MAX_REQUESTS: usize = 341;
const DESCRIPTORS: usize = 1_024;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// The configuration of a process with this limit on memory.
fn config(memory_mb: u64, prefill: &StandIn, decode: &StandIn) -> String {
    let servers = [("p", "prefill", prefill.address), ("d", "decode", decode.address)];
    let mut config: Value =
        serde_json::from_str(&config_json("n1", "127.0.0.1:9", DESCRIPTORS, &servers, &setup())).unwrap();
    config["limits"]["memory_mb"] = memory_mb.into();
    config.to_string()
}

/// A chat completion request whose body has this many bytes.
fn large_request(id: &str, bytes: usize, stream: bool) -> String {
    let opening =
        format!("{{\"model\":\"chat\",\"stream\":{stream},\"messages\":[{{\"role\":\"user\",\"content\":\"");
    let ending = "\"}]}";
    let content = "a".repeat(bytes - opening.len() - ending.len());
    chat_request(id, &format!("{opening}{content}{ending}"))
}

/// A chat completion request with this body.
fn chat_request(id: &str, body: &str) -> String {
    let headers = format!(
        "x-txn: {id}\r\nx-lane: ask\r\nx-entity: s-{id}\r\nx-remaining: 6000m\r\n\
         x-labels: prompt_len=600,max_out=100\r\n"
    );
    post("/v1/chat/completions", &headers, body)
}

/// Sends as many requests of the largest size at once as clients may, and returns the statuses of the
/// answers.
async fn flood(to: SocketAddr, name: &str, stream: bool) -> Vec<u16> {
    send_all(to, |n| large_request(&format!("{name}-{n}"), MAX_BODY_BYTES, stream)).await
}

/// Sends as many of these requests at once as clients may, and returns the statuses of the answers.
async fn send_all(to: SocketAddr, request: impl Fn(usize) -> String) -> Vec<u16> {
    let mut clients = JoinSet::new();
    for n in 0..MAX_REQUESTS {
        let text = request(n);
        clients.spawn(async move { timeout(ANSWER_TIMEOUT, exchange(to, &text)).await.unwrap().status });
    }
    clients.join_all().await
}

/// Checks that every request was answered, that the process stayed below its limit, and that a request of the
/// largest size is served once the others have ended.
async fn check_after_flood(process: &DaemonProcess, to: SocketAddr, memory_mb: u64, statuses: &[u16]) {
    assert!(statuses.iter().all(|status| matches!(status, 200 | 429 | 503)), "{memory_mb} MB: {statuses:?}");
    assert!(statuses.contains(&200), "{memory_mb} MB: no request was served");
    let next = timeout(ANSWER_TIMEOUT, exchange(to, &large_request("next", MAX_BODY_BYTES, true))).await;
    assert_eq!(next.unwrap().status, 200, "{memory_mb} MB: the memory was not returned");
    let peak_kib = process.peak_memory_kib();
    assert!(peak_kib * 1_024 <= memory_mb * 1_000_000, "{memory_mb} MB: {peak_kib} KiB at the peak");
}

/// Guards against the excess of the memory limit by the bodies of many requests at once.
#[tokio::test]
async fn many_large_requests_at_once_stay_below_the_memory_limit() {
    for memory_mb in [32, 48, 96, 192] {
        let (prefill, decode) =
            (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
        let name = format!("memory-{memory_mb}");
        let process = DaemonProcess::start(program(&name, &config(memory_mb, &prefill, &decode)));
        let statuses = flood(process.listen, &name, true).await;
        check_after_flood(&process, process.listen, memory_mb, &statuses).await;
        process.signal("-TERM");
        process.expect_clean_exit().await;
    }
}

/// Guards against the excess of the memory limit by requests that the chat front has rewritten for servers.
#[tokio::test]
async fn large_requests_that_the_chat_front_rewrites_stay_below_the_memory_limit() {
    for memory_mb in [32, 96] {
        let (prefill, decode) =
            (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
        let name = format!("memory-chat-{memory_mb}");
        let process = start_with_chat(&name, &config(memory_mb, &prefill, &decode));
        let statuses = flood(process.listen, &name, false).await;
        check_after_flood(&process, process.listen, memory_mb, &statuses).await;
        process.signal("-TERM");
        process.expect_clean_exit().await;
    }
}

/// Guards against requests whose parsed values take many times the memory of their text.
#[tokio::test]
async fn requests_of_many_small_values_that_the_chat_front_rewrites_stay_below_the_memory_limit() {
    let memory_mb = 32;
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let name = "memory-values";
    let process = start_with_chat(name, &config(memory_mb, &prefill, &decode));
    let value = "{\"a\":1},";
    let values = value.repeat((MAX_BODY_BYTES - 200) / value.len());
    for field in ["extra", "metadata"] {
        let (open, close) = if field == "extra" { ("[", "1]") } else { ("{\"b\":[", "1]}") };
        let opening = "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]";
        let body = format!("{opening},\"{field}\":{open}{values}{close}}}");
        assert!(body.len() <= MAX_BODY_BYTES);
        let statuses =
            send_all(process.listen, |n| chat_request(&format!("{name}-{field}-{n}"), &body)).await;
        check_after_flood(&process, process.listen, memory_mb, &statuses).await;
    }
    process.signal("-TERM");
    process.expect_clean_exit().await;
}

/// Writes a chunked body, each byte of which is a chunk and a segment of its own.
async fn write_tiny_chunks(stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
    for _ in 0..bytes {
        stream.write_all(b"1\r\n \r\n").await?;
        tokio::task::yield_now().await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Starts a prefill server that writes its replies in tiny chunks; returns its address.
async fn start_slow_writer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                stream.set_nodelay(true).unwrap();
                let mut buffer = Vec::new();
                while let Ok(Some(_)) = read_request(&mut stream, &mut buffer).await {
                    let head = b"HTTP/1.1 202 -\r\ntransfer-encoding: chunked\r\n\r\n";
                    if stream.write_all(head).await.is_err()
                        || write_tiny_chunks(&mut stream, 20_000).await.is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against servers' replies whose parts keep the buffers that they were read into.
#[tokio::test]
async fn a_reply_in_tiny_chunks_takes_little_memory() {
    let decode = StandIn::start(COMPLETE_STREAM).await;
    let servers = [("p", "prefill", start_slow_writer().await), ("d", "decode", decode.address)];
    let config = config_json("n1", "127.0.0.1:9", DESCRIPTORS, &servers, &setup());
    let process = DaemonProcess::start(program("memory-replies", &config));
    let mut clients = JoinSet::new();
    for n in 0..8 {
        let (to, text) = (process.listen, chat(&format!("reply-{n}"), "ask", 6_000));
        clients.spawn(async move { timeout(ANSWER_TIMEOUT, exchange(to, &text)).await.unwrap().status });
    }
    let statuses = clients.join_all().await;
    assert!(statuses.contains(&200), "{statuses:?}");
    let peak_kib = process.peak_memory_kib();
    assert!(peak_kib * 1_024 <= 32_000_000, "{peak_kib} KiB at the peak");
    process.signal("-TERM");
    process.expect_clean_exit().await;
}

/// Guards against bodies whose parts keep the buffers that they were read into: a body in chunks of one byte
/// took hundreds of times its size.
#[tokio::test]
async fn a_body_in_tiny_chunks_takes_little_memory() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let process = DaemonProcess::start(program("memory-chunks", &config(32, &prefill, &decode)));
    let head = chat("chunks", "ask", 6_000).replace("content-length: 2\r\n\r\n{}", "");
    let mut clients = JoinSet::new();
    for n in 0..40 {
        let head = head.replace("chunks", &format!("chunks-{n}"));
        let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let to = process.listen;
        clients.spawn(async move {
            let mut client = TcpStream::connect(to).await.unwrap();
            client.set_nodelay(true).unwrap();
            client.write_all(head.as_bytes()).await.unwrap();
            write_tiny_chunks(&mut client, 2_048).await.unwrap();
            timeout(ANSWER_TIMEOUT, read_answer(client)).await.unwrap().status
        });
    }
    let statuses = clients.join_all().await;
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    let peak_kib = process.peak_memory_kib();
    assert!(peak_kib * 1_024 <= 32_000_000, "{peak_kib} KiB at the peak");
    process.signal("-TERM");
    process.expect_clean_exit().await;
}

/// Guards against two processes of an upgrade that each take the whole limit: their memory counts together.
#[tokio::test]
async fn both_processes_of_an_upgrade_stay_below_the_memory_limit_together() {
    for memory_mb in [32, 96] {
        let name = format!("memory-upgrade-{memory_mb}");
        let (mut deployment, _reserved) = deployment_with_shared_address(&name).await;
        deployment.config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS});
        let (old, _) = deployment.start(&name).await;
        let (new, _) = deployment.start(&format!("{name}-new")).await;
        let statuses = flood(new.listen, &name, true).await;
        assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{memory_mb} MB: {statuses:?}");
        assert!(statuses.contains(&200), "{memory_mb} MB: no request was served");
        let peaks_kib = [&old, &new].map(DaemonProcess::peak_memory_kib);
        let peak_bytes = peaks_kib.iter().sum::<u64>() * 1_024;
        assert!(peak_bytes <= memory_mb * 1_000_000, "{memory_mb} MB: {peaks_kib:?} KiB at the peaks");
        for process in [old, new] {
            process.signal("-TERM");
            process.expect_clean_exit().await;
        }
    }
}
