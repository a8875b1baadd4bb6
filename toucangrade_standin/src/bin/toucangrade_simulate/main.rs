//! Runs the decision code with seeded random faults and checks every invariant.

mod runs;

#[cfg(test)]
mod tests;

use std::io::{self, stdout};
use std::process::ExitCode;

use crate::runs::{Parts, parser};

fn main() -> io::Result<ExitCode> {
    let options = parser().run();
    // The library repeats a run that panicked and returns the violation with its trace, so the
    // panic message itself is not printed.
    std::panic::set_hook(Box::new(|_| {}));
    let success = runs::run(&options, &Parts::real(), &mut stdout())?;
    Ok(if success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
