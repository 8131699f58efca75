//! The daemon as a member of a cluster whose instances lease their shares of the servers.

mod support;

use std::net::UdpSocket;

use serde_json::json;
use support::*;

/// Guards against requests that are served by the share of the settings, before one has been granted.
#[test]
fn no_client_is_accepted_before_the_membership_is_joined() {
    // The address is taken, so that the process can't join.
    let taken = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let membership = json!({"listen": address, "voters": [address], "key": "a key of this test", "most": 4});
    let membership_file = config_file("membership-taken-settings");
    std::fs::write(&membership_file, membership.to_string()).unwrap();
    let config = config_json("membership-taken", "127.0.0.1:9", 512, &[], &setup());
    let output = program("membership-taken", &config).arg("--membership").arg(membership_file).output();
    let output = output.unwrap();
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(log.contains(&address.to_string()), "{log}");
    assert!(!log.contains("listening, at: "), "clients were accepted before: {log}");
}
