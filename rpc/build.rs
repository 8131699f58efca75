//! Compiles the service's definition; the compiler is a library, so that none is needed on the machine.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto");
    let files = protox::compile(["frosttrail/box/v1/box.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
