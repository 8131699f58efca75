//! Builds the fault shim, a small shared library in C.

use std::path::PathBuf;
use std::process::Command;

fn main() {
    println!("cargo::rerun-if-changed=shim/fault_shim.c");
    println!("cargo::rerun-if-env-changed=CC");
    let out =
        PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo sets OUT_DIR")).join("libfault_shim.so");
    let compiler = std::env::var("CC").unwrap_or_else(|_| "cc".into());
    let built = Command::new(&compiler)
        .args(["-shared", "-fPIC", "-O2", "-Wall", "-o"])
        .arg(&out)
        .args(["shim/fault_shim.c", "-ldl"])
        .status();
    assert!(built.is_ok_and(|status| status.success()), "{compiler} could not build shim/fault_shim.c");
    println!("cargo::rustc-env=FAULT_SHIM={}", out.display());
}
