//! Stand-ins and checks of the cases of the review: `standin CASE FOLDER`.

mod bodies;
mod fleet;
mod http;
mod keys;
mod record;
mod replica;
mod store;
mod weights;
mod whole;

use std::{path::Path, process::ExitCode};

/// Result of a case.
#[derive(Clone, Copy, Debug)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let result = match name.as_str() {
        "bodies" => bodies::run(folder, trouble),
        "keys" => keys::run(folder, trouble),
        "whole" => whole::run(folder, trouble),
        _ => {
            eprintln!("no case {name}");
            return ExitCode::from(2);
        }
    };
    println!("{name}: {result:?}");
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
