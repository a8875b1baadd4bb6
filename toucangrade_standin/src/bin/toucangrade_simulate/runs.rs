//! Command line of the program and the loop over parts and seeds.

use std::io::{self, Write};
use std::ops::Range;

use bpaf::{OptionParser, Parser, construct, long};
use toucangrade::{JobsScope, Violation, try_jobs, try_random_run, try_simulation};

/// Steps of a run without `--steps`.
const DEFAULT_STEPS: u64 = 40_000;

/// Names of the parts.
const PARTS: [&str; 7] =
    ["requests", "log", "jobs", "restarts", "gangs", "evacuations", "lookahead"];

/// Part, seeds and steps of the runs; all parts without `part`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Options {
    pub(crate) part: Option<String>,
    pub(crate) seeds: Range<u64>,
    pub(crate) steps: u64,
}

/// Runs one seed for a number of steps and returns the line to print.
type Run = Box<dyn Fn(u64, u64) -> Result<String, Violation>>;

/// The randomised runs, with the name that `--part` selects each by.
pub(crate) struct Parts(pub(crate) Vec<(&'static str, Run)>);

impl Parts {
    /// The runs of the decision code.
    pub(crate) fn real() -> Self {
        let requests = |seed, steps| try_simulation(seed, steps).map(|report| report.to_string());
        let log = |seed, steps| try_random_run(seed, steps).map(|report| report.to_string());
        let run = |scope| {
            move |seed, steps| try_jobs(seed, steps, scope).map(|report| report.to_string())
        };
        let jobs = run(JobsScope::default());
        let restarts = run(JobsScope { restarts: true, ..JobsScope::default() });
        let evacuations = run(JobsScope { evacuations: true, ..JobsScope::default() });
        let gangs = run(JobsScope { gangs: true, ..JobsScope::default() });
        let lookahead = run(JobsScope { gangs: true, lookahead: true, ..JobsScope::default() });
        Self(vec![
            ("requests", Box::new(requests)),
            ("log", Box::new(log)),
            ("jobs", Box::new(jobs)),
            ("restarts", Box::new(restarts)),
            ("gangs", Box::new(gangs)),
            ("evacuations", Box::new(evacuations)),
            ("lookahead", Box::new(lookahead)),
        ])
    }
}

/// Parser of the command line.
pub(crate) fn parser() -> OptionParser<Options> {
    let part = long("part")
        .help(
            "Run entries, agents and control (requests), the replicated log (log), jobs of \
             several steps on runners (jobs), the same with runners that restart under their \
             names (restarts), with tasks that work only together (gangs), with data centres that \
             are evacuated (evacuations) or with gangs and placement that looks ahead (lookahead) \
             only",
        )
        .argument::<String>("requests|log|jobs|restarts|gangs|evacuations|lookahead")
        .guard(
            |part| PARTS.contains(&part.as_str()),
            "allowed is requests, log, jobs, restarts, gangs, evacuations or lookahead",
        )
        .optional();
    let seed = long("seed")
        .help("Run this seed; 1 if no seed is given")
        .argument::<u64>("N")
        .map(|seed| seed..seed.saturating_add(1));
    let seeds = long("seeds")
        .help("Run the seeds from A up to B, without B")
        .argument::<String>("A..B")
        .parse(|text| parse_range(&text));
    let seeds = construct!([seed, seeds]).fallback(1..2);
    let steps = long("steps")
        .help("Messages of each run before faults stop; 40000 if missing")
        .argument::<u64>("N")
        .fallback(DEFAULT_STEPS);
    construct!(Options { part, seeds, steps })
        .to_options()
        .descr("Runs the decision code with random faults and checks every invariant")
}

fn parse_range(text: &str) -> Result<Range<u64>, String> {
    let invalid = || format!("{text:?} is no range, allowed is A..B with A below B");
    let (from, to) = text.split_once("..").ok_or_else(invalid)?;
    let (Ok(from), Ok(to)) = (from.parse(), to.parse()) else { return Err(invalid()) };
    if from < to { Ok(from..to) } else { Err(invalid()) }
}

/// Runs every seed of the selected parts and returns whether all invariants held.
pub(crate) fn run(options: &Options, parts: &Parts, out: &mut dyn Write) -> io::Result<bool> {
    let mut violations = 0;
    let selected = |name: &str| options.part.as_deref().is_none_or(|part| part == name);
    for (name, run) in parts.0.iter().filter(|(name, _)| selected(name)) {
        for seed in options.seeds.clone() {
            match run(seed, options.steps) {
                Ok(report) => writeln!(out, "{name} {report}")?,
                Err(violation) => {
                    violations += 1;
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
    Ok(violations == 0)
}
