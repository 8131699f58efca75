//! `transfer send`, and a connection that is lost as the last frame of the move is on its way.

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::*;

/// The frame by which the holder makes the taker the owner.
const GRANT: u8 = 8;
const CHUNK: u8 = 5;

/// A proxy before the node. It resets the first connection as a grant comes, which is not passed on; later ones pass.
fn start_proxy(to: SocketAddr, trouble: bool, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let has_cut = Arc::new(AtomicBool::new(!trouble));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(node) = Wire::connect(to) else { continue };
            record.say("proxy: a connection");
            let (mut back, mut forth) =
                (client.try_clone().expect("a descriptor"), node.stream.try_clone().expect("a descriptor"));
            let mut from_node = node.stream.try_clone().expect("a descriptor");
            thread::spawn(move || {
                let _ = std::io::copy(&mut from_node, &mut back);
                let _ = back.shutdown(Shutdown::Both);
            });
            let (mut from_client, record, has_cut) = (Wire::new(client), record.clone(), has_cut.clone());
            thread::spawn(move || {
                use std::io::Write;
                while let Ok(mut frame) = from_client.read_exactly(24) {
                    let length = u32::from_be_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
                    let kind = frame[4];
                    let rest = length + if kind == CHUNK { 0 } else { 4 };
                    let Ok(body) = from_client.read_exactly(rest) else { break };
                    frame.extend(body);
                    if kind == GRANT && !has_cut.swap(true, Ordering::Relaxed) {
                        record.say("proxy: the connection is lost with the grant on its way");
                        break;
                    }
                    if forth.write_all(&frame).is_err() {
                        break;
                    }
                }
                let _ = forth.shutdown(Shutdown::Both);
                let _ = from_client.stream.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

fn main() {
    Case::run(|case| {
        let record = &case.record;
        let (address, store) = (free_address(), case.folder.join("store"));
        std::fs::create_dir_all(&store).map_err(|e| e.to_string())?;
        let text = format!(
            "{{\"name\":\"transfer\",\"listen\":\"{address}\",\"store\":\"{}\",\"chunk_kib\":256,\"window_kib\":4096,\"in_flight_kib\":16384,\
             \"memory_mib\":256,\"held_mib\":256,\"connections\":256,\"hold_ms\":900,\"limit_ms\":30000,\"silence_ms\":400,\"drain_ms\":10000}}",
            store.display()
        );
        let config = case.write("transfer.json", &text)?;
        let bytes: Vec<u8> =
            (0..2_000_000_u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
        let file = case.folder.join("state.bin");
        std::fs::write(&file, &bytes).map_err(|e| e.to_string())?;
        let frosttrail = case.run_command()?;
        let mut node =
            case.start("node", &format!("{frosttrail} transfer serve --config {}", config.display()), &[])?;
        let end = Instant::now() + Duration::from_secs(10);
        while !node.log_text().contains("listening") {
            if Instant::now() > end || node.has_ended().is_some() {
                return Err(format!("the node does not listen: {}", node.log_text()));
            }
            thread::sleep(ms(20));
        }
        let proxy = start_proxy(address, case.trouble, record.clone());
        let command = format!("{frosttrail} transfer send {} --id r-1 --to {proxy}", file.display());
        let mut send = case.start("send", &command, &[])?;
        let Some(code) = send.wait(Duration::from_secs(40)) else { return Err("send does not end".into()) };
        record.say(format!("send says: {}", send.log_text().trim()));
        // The rule leaves 1 s to either end; a file of 2 MB takes milliseconds.
        thread::sleep(Duration::from_secs(4));
        let stored = std::fs::read(store.join("r-1")).ok();
        let mut status =
            case.start("status", &format!("{frosttrail} transfer status --at {address}"), &[])?;
        status.wait(Duration::from_secs(5));
        record.say(format!("the node says: {}", status.log_text().split_whitespace().collect::<String>()));
        record.say(format!("the node's log: {}", node.log_text().trim().replace('\n', " | ")));
        let is_there = stored.as_ref() == Some(&bytes);
        record.say(format!(
            "send ended with {code}; the state {}",
            if is_there { "is whole in the node's folder" } else { "is NOWHERE" }
        ));
        node.signal("TERM");
        node.wait(Duration::from_secs(15));
        Ok(is_there || !code.success())
    })
}
