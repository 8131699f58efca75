//! Fixtures of tests that start the program with its chat front.

use std::path::PathBuf;

use super::*;

/// Starts a process with the chat front; its `listen` is the address of that front.
pub fn start_with_chat(name: &str, config: &str) -> DaemonProcess {
    let mut command = program(name, config);
    command.arg("--chat").arg(write_chat_config(name));
    let mut process = DaemonProcess::start(command);
    process.wait_until_listening();
    process
}

/// Writes a configuration of the chat front, at any free port, to the file of this name; returns its path.
pub fn write_chat_config(name: &str) -> PathBuf {
    let file = config_file(&format!("{name}-chat"));
    let text = "listen = \"127.0.0.1:0\"\nmodels = [\"chat\"]\nclass = \"book\"\nmax_tokens = 400\n";
    std::fs::write(&file, text).unwrap();
    file
}
