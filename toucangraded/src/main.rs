//! The daemon `toucangraded`: reads the settings, sets up logging and runs the roles of the process.

use std::process::ExitCode;

use tracing_subscriber::EnvFilter;

/// Exit status for invalid settings: `EX_USAGE` of sysexits.h.
const EXIT_USAGE: u8 = 64;

fn main() -> ExitCode {
    let settings = match toucangrade::parser().run() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("toucangraded: {error}");
            return ExitCode::from(EXIT_USAGE);
        },
    };
    if settings.check {
        println!("{}", serde_json::json!(settings));
        return ExitCode::SUCCESS;
    }
    let filter = EnvFilter::try_from_env("TOUCANGRADE_LOG").unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
    match toucangrade::run(settings) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            tracing::error!(%error, "can't run");
            ExitCode::FAILURE
        },
    }
}
