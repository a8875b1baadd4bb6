//! Options of the program, and the runs that they ask for.

use std::io::{self, Write};
use std::ops::Range;

use bpaf::{OptionParser, Parser, construct, long};
use toucangrade::{Violation, try_jobs, try_random_run, try_simulation};

/// Steps of a run when none are given.
const STEPS: u64 = 40_000;

/// What to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Options {
    pub(crate) part: Option<String>,
    pub(crate) seeds: Range<u64>,
    pub(crate) steps: u64,
}

/// Runs one seed for a number of steps; gives the line to print.
type Run = Box<dyn Fn(u64, u64) -> Result<String, Violation>>;

/// The parts of the system that have randomised runs, by name.
pub(crate) struct Parts(pub(crate) Vec<(&'static str, Run)>);

impl Parts {
    /// The runs of the decision code.
    pub(crate) fn real() -> Self {
        let requests = |seed, steps| try_simulation(seed, steps).map(|report| report.to_string());
        let log = |seed, steps| try_random_run(seed, steps).map(|report| report.to_string());
        let jobs = |seed, steps| try_jobs(seed, steps).map(|report| report.to_string());
        Self(vec![
            ("requests", Box::new(requests)),
            ("log", Box::new(log)),
            ("jobs", Box::new(jobs)),
        ])
    }
}

/// Parser of the command line.
pub(crate) fn parser() -> OptionParser<Options> {
    let part = long("part")
        .help(
            "Run entries, agents and control (requests), the replicated log (log) or jobs of \
             several steps on runners (jobs) only",
        )
        .argument::<String>("requests|log|jobs")
        .guard(
            |part| ["requests", "log", "jobs"].contains(&part.as_str()),
            "allowed is requests, log or jobs",
        )
        .optional();
    let seed = long("seed")
        .help("Run this seed; 1 if no seed is given")
        .argument::<u64>("N")
        .map(|seed| seed..seed.saturating_add(1));
    let seeds = long("seeds")
        .help("Run the seeds from A up to B, without B")
        .argument::<String>("A..B")
        .parse(|text| range(&text));
    let seeds = construct!([seed, seeds]).fallback(1..2);
    let steps = long("steps")
        .help("Messages of each run before faults stop; 40000 if missing")
        .argument::<u64>("N")
        .fallback(STEPS);
    construct!(Options { part, seeds, steps })
        .to_options()
        .descr("Runs the decision code with random faults and checks every invariant")
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let bad = || format!("{text:?} is no range, allowed is A..B with A below B");
    let (from, to) = text.split_once("..").ok_or_else(bad)?;
    let (Ok(from), Ok(to)) = (from.parse(), to.parse()) else { return Err(bad()) };
    if from < to { Ok(from..to) } else { Err(bad()) }
}

/// Runs every seed of every part; gives whether all invariants held.
pub(crate) fn run(options: &Options, parts: &Parts, out: &mut dyn Write) -> io::Result<bool> {
    let mut broken = 0;
    let wanted = |name: &str| options.part.as_deref().is_none_or(|part| part == name);
    for (name, run) in parts.0.iter().filter(|(name, _)| wanted(name)) {
        for seed in options.seeds.clone() {
            match run(seed, options.steps) {
                Ok(report) => writeln!(out, "{name} {report}")?,
                Err(violation) => {
                    broken += 1;
                    writeln!(out, "{violation}")?;
                    let steps = options.steps;
                    writeln!(out, "{name} seed {seed}: an invariant is violated, replay with:")?;
                    writeln!(
                        out,
                        "toucangrade_simulate --part {name} --seed {seed} --steps {steps}"
                    )?;
                },
            }
            out.flush()?;
        }
    }
    Ok(broken == 0)
}
