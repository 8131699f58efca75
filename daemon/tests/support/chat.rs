//! Fixtures of tests that start the program with its chat front.

use std::path::PathBuf;

use super::*;

/// Writes a configuration of the chat front, at any free port, to the file of this name; returns its path.
pub fn write_chat_config(name: &str) -> PathBuf {
    let file = config_file(&format!("{name}-chat"));
    let text = "listen = \"127.0.0.1:0\"\nmodels = [\"chat\"]\nclass = \"book\"\nmax_tokens = 400\n";
    std::fs::write(&file, text).unwrap();
    file
}
