//! `gradeloft`: the command line tool for operators.

mod args;
mod command;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let args = args::Args::parse();
    actix_rt::System::new().block_on(command::run(args))
}
