//! The `frosttrail` binary: parses the command line, runs the command and reports its exit status.

#![forbid(unsafe_code)]

mod command;

use std::process::ExitCode;

use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use command::{serve, transfer, CommandError};

/// A conductor for two-stage language-model servers, and the tools beside it.
///
/// Without a command it serves, as `frosttrail serve` does: EDGE_CONFIG names the conductor's configuration.
#[derive(Parser, Debug)]
#[command(name = "frosttrail", version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: serve::Options,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Conduct requests, as EDGE_CONFIG says, until SIGTERM.
    Serve(serve::Options),
    /// Move read state between servers.
    #[command(subcommand)]
    Transfer(transfer::Command),
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) => return report_usage_error(&e),
    };
    let result = match cli.command {
        None => serve::serve(cli.serve),
        Some(Command::Serve(options)) => serve::serve(options),
        Some(Command::Transfer(command)) => transfer::run(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("frosttrail: {error}");
            CommandError::exit_code(&error)
        }
    }
}

/// Prints help and version as clap does. Prints a usage error as one line and exits with status 2, like a
/// configuration error.
fn report_usage_error(error: &clap::Error) -> ExitCode {
    match error.kind() {
        ErrorKind::DisplayHelp
        | ErrorKind::DisplayVersion
        | ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand => error.exit(),
        _ => {
            let text = error.to_string();
            let is_message = |line: &&str| !line.starts_with("Usage") && !line.starts_with("For more");
            let message: Vec<&str> = text.lines().take_while(is_message).map(str::trim).collect();
            let message = message.join(" ");
            let message = message.trim().trim_start_matches("error: ");
            eprintln!("frosttrail: {message}; see frosttrail --help");
            ExitCode::from(2)
        }
    }
}
