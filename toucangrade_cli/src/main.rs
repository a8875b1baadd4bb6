//! The command-line tool `toucangrade`.

mod commands;
mod failure;
mod link;
mod options;
mod plot;
mod shown;
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
