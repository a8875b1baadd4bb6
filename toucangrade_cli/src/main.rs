//! The command-line tool `toucangrade`: declares, follows and explains resources by requests to
//! control instances.

mod commands;
mod failure;
mod instances;
mod options;
mod plot;
mod render;
mod watch;

#[cfg(test)]
mod tests;

use std::io::{stderr, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = options::parser().run();
    match commands::run(&options, &mut stdout(), &mut stderr()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("toucangrade: {failure}");
            ExitCode::from(failure.code())
        },
    }
}
