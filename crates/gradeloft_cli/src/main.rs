//! `gradeloft`: the operators' tool.

mod command;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let args = command::Args::parse();
    actix_rt::System::new().block_on(command::run(args))
}
