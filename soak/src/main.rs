//! Runs the fault soak for a range of seeds, and exits with status 1 if a rule was broken.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use frosttrail_soak::conductor::check_program_exists;
use frosttrail_soak::plan::Plan;
use frosttrail_soak::run::{run_soak, RunOptions};
use tokio::signal::unix::{signal, SignalKind};

/// Real conductors under faults that overlap, for many seeds.
#[derive(Parser, Debug)]
struct Cli {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after another.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Conductors, each a process of its own.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=40))]
    conductors: u64,
    /// Servers of each role.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=16))]
    servers: u64,
    /// Under so many ids each server is listed: a large fleet.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=800))]
    ids_per_server: u64,
    /// How many conductors the settings name; as many as there are where nothing is said.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=900))]
    listed_conductors: Option<u64>,
    /// Which troubles come.
    #[arg(long, value_enum, default_value_t = Plan::Drawn)]
    plan: Plan,
    /// How long troubles come, in seconds.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(3..=600))]
    seconds: u64,
    /// Requests a second at each conductor.
    #[arg(long, default_value_t = 6.0)]
    rate: f64,
    /// Reads and writes cut short while the network fails, of 1,000.
    #[arg(long, default_value_t = 300)]
    short_io: u32,
    /// The program.
    #[arg(long, default_value = "target/release/frosttrail")]
    program: PathBuf,
    /// Where configurations and logs go.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

/// Resolves once this process is asked to terminate. Conductors must not outlive it, as they would go on
/// calling ports that the stub servers of the next run are given.
async fn wait_for_termination() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(error) = check_program_exists(&cli.program) {
        eprintln!("frosttrail-soak: {error}");
        return ExitCode::from(2);
    }
    if !(cli.rate > 0.0 && cli.rate <= 100.0) {
        eprintln!("frosttrail-soak: --rate: must be above 0 and at most 100");
        return ExitCode::from(2);
    }
    let mut violation_count = 0;
    for seed in cli.seed..cli.seed.saturating_add(cli.seeds) {
        let options = RunOptions {
            program: cli.program.clone(),
            seed,
            conductors: cli.conductors as usize,
            servers: cli.servers as usize,
            ids_per_server: cli.ids_per_server as usize,
            listed_conductors: cli.listed_conductors.unwrap_or(cli.conductors) as usize,
            plan: cli.plan,
            duration: Duration::from_secs(cli.seconds),
            rate: cli.rate,
            short_per_mille: cli.short_io,
            folder: cli.folder.join(seed.to_string()),
        };
        let outcome = tokio::select! {
            outcome = run_soak(options) => outcome,
            // Dropping the run ends the processes that it has started.
            () = wait_for_termination() => return ExitCode::FAILURE,
        };
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(e) => {
                eprintln!("frosttrail-soak: seed {seed}: {e}");
                return ExitCode::FAILURE;
            }
        };
        let report = &outcome.report;
        println!(
            "seed {seed}: {:?}, {} attempts, fired {:?}",
            report.results, report.attempts, outcome.shim_counts
        );
        println!("  troubles {:?}", outcome.fault_counts);
        for violation in &report.violations {
            println!("  BROKEN {violation}");
        }
        violation_count += report.violations.len();
    }
    println!("{violation_count} violations");
    if violation_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
