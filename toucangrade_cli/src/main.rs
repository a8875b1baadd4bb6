//! The command-line tool `toucangrade`.

mod commands;
mod options;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = options::parser().run();
    match commands::run(&options) {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        },
        Err(failure) => {
            eprintln!("toucangrade: {failure}");
            ExitCode::from(failure.code())
        },
    }
}
