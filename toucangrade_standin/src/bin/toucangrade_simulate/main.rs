//! Randomised runs of the decision code, by seed, which check every invariant.

mod runs;

#[cfg(test)]
mod tests;

use std::io::{self, stdout};
use std::process::ExitCode;

use crate::runs::{Parts, parser};

fn main() -> io::Result<ExitCode> {
    let options = parser().run();
    // A violated invariant is printed with its trace once the run was repeated.
    std::panic::set_hook(Box::new(|_| {}));
    let whole = runs::run(&options, &Parts::real(), &mut stdout())?;
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
