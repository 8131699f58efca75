//! Compiles the service definition with a library, so that no protobuf compiler needs to be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto");
    let files = protox::compile(["frosttrail/box/v1/box.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
