//! The program: what it is told on its command line, and what its end tells.

#![forbid(unsafe_code)]

mod command;

use std::process::ExitCode;

use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use command::{serve, transfer, ServeError};

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
    let line = match Cli::try_parse() {
        Ok(line) => line,
        Err(e) => return usage(&e),
    };
    let run = match line.command {
        None => serve::serve(line.serve),
        Some(Command::Serve(options)) => serve::serve(options),
        Some(Command::Transfer(command)) => transfer::run(command),
    };
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("frosttrail: {error}");
            ServeError::code(&error)
        }
    }
}

/// Help and version as the library words them, a mistake on one line like all else that whoever started the
/// program has to mend.
fn usage(error: &clap::Error) -> ExitCode {
    match error.kind() {
        ErrorKind::DisplayHelp
        | ErrorKind::DisplayVersion
        | ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand => error.exit(),
        _ => {
            let text = error.to_string();
            let end = |line: &&str| !line.starts_with("Usage") && !line.starts_with("For more");
            let said: Vec<&str> = text.lines().take_while(end).map(str::trim).collect();
            let said = said.join(" ");
            let said = said.trim().trim_start_matches("error: ");
            eprintln!("frosttrail: {said}; see frosttrail --help");
            ExitCode::from(2)
        }
    }
}
