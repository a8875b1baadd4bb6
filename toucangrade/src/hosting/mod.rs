//! The agent's control of its runner: polls it for listings of its runs, carries out the leader's
//! start and stop orders, extends the runner's lease as the leader grants it, and reports runs,
//! ends and refused starts to the leader.

mod doubts;
mod heard;
mod message;
mod orders;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use self::doubts::DoubtState;
use self::heard::Candidate;
use self::message::Target;
pub use self::message::{Announcement, Fault, Listing, Target as RunnerTarget};
pub(crate) use self::message::{Effect, Message};
use self::orders::{PendingOrder, Stage};
use crate::core::{Moment, Name, Span};
use crate::dispatch::{Denial, Report, RunProfile, RunStatus, Runner};
use crate::jobs::RunKey;
use crate::pacing::Pacing;

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(100);
/// Long-poll timeout of a listing: the runner answers when a run ends, or after this time at the
/// latest. Task figures are averages over half a second, so a longer wait would leave pacing with
/// stale ones.
const LIST_WAIT: Span = Span::millis(500);
/// Timeout of a listing request: `LIST_WAIT` and a generous round trip.
const LIST_TIMEOUT: Span = Span::millis(1_100);
/// Minimum time between a listing and the next request while ends wait to be recorded, since the
/// runner answers at once as long as it lists any.
const LIST_MIN_INTERVAL: Span = Span::millis(60);
/// Minimum time between a listing and the next request while an acknowledgement is held back.
const LIST_KEPT_INTERVAL: Span = Span::millis(250);
/// Delay before a listing is requested again after a failed one.
const LIST_RETRY_DELAY: Span = Span::millis(150);
/// Consecutive refused connections after which the runner's process counts as ended. No order is
/// sent after the first, so none reaches a process that starts on the port later.
const REFUSALS_LIMIT: u32 = 3;
/// Time since the last confirmation of the current incarnation after which no order is sent to it,
/// since another incarnation may answer under its name.
const CONFIRMED_FOR: Span = Span::millis(700);
/// Delay beyond the long-poll timeout above which the arrival of an answer does not tell when it
/// was given, as this process may have been paused meanwhile.
const LIST_MAX_DELAY: Span = Span::millis(150);
/// Maximum time between two reports, well below the leader's limit for silent runners.
const REPORT_INTERVAL: Span = Span::millis(900);
/// Timeout of a report: longer than the leader's long poll.
const REPORT_TIMEOUT: Span = Span::millis(1_500);
/// Time for which denied starts are remembered. Longer than any lease, so that a delayed order for
/// one is not carried out.
const DENIED_RETENTION: Span = Span::secs(15);

/// Maximum number of runs that a log line names.
const LOGGED_RUNS: usize = 8;

/// The current runner: the one that answered last.
#[derive(Debug, Serialize)]
struct CurrentRunner {
    #[serde(rename = "heard")]
    candidate: Candidate,
    listing: Listing,
    /// Time of its last listing.
    answered: Moment,
    /// Time at which it first answered a listing with a token of its own, so that it refuses calls
    /// that were meant for earlier incarnations. Until then such calls may still take effect.
    fenced: Option<Moment>,
}

impl CurrentRunner {
    fn target(&self, token: u64) -> Target {
        let Announcement { addr, incarnation, .. } = &self.candidate.announced;
        Target { addr: *addr, incarnation: incarnation.clone(), token }
    }
}

/// A listing request without an answer so far.
#[derive(Debug, Serialize)]
struct ListRequest {
    seq: u64,
    /// Time of the request.
    since: Moment,
    /// Long-poll timeout sent with the request.
    wait: Span,
    #[serde(skip)]
    target: Target,
}

/// State of the hosting duty.
#[derive(Debug, Serialize)]
pub(crate) struct Hosting {
    agent: Name,
    /// Start of the agent's process, in ms since 1970.
    incarnation: u64,
    #[serde(rename = "known")]
    current: Option<CurrentRunner>,
    /// Announced runners other than the current one.
    others: Vec<Candidate>,
    /// Whether there is no current runner or its last listing failed, so that listings are
    /// requested from the other announced runners too.
    seeking: bool,
    /// Round-robin position while seeking: index of the next runner to ask, among the current one
    /// and the others.
    turn: usize,
    /// Fencing token sent with all calls to the runner.
    token: u64,
    /// Orders whose effect no listing has confirmed yet.
    #[serde(rename = "handling")]
    pending: BTreeMap<RunKey, PendingOrder>,
    /// Denied starts, with the reason and the time of the denial.
    denied: BTreeMap<RunKey, (Denial, Moment)>,
    /// Properties of the runs that pacing needs, as the leader sent them.
    #[serde(rename = "natures")]
    profiles: BTreeMap<RunKey, RunProfile>,
    doubts: DoubtState,
    pacing: Pacing,
    /// End of the lease in ms, on the runner's clock.
    until: Option<u64>,
    /// Greatest end number that the leader has recorded; ends up to it are acknowledged to the
    /// runner.
    noted: u64,
    listing: Option<ListRequest>,
    /// Time of the last successful listing.
    listed: Moment,
    /// Latest time at which the current incarnation is known to have been running.
    #[serde(rename = "certain")]
    confirmed: Moment,
    /// Time at which the last listing failed, while the next one is delayed for that reason.
    failed: Option<Moment>,
    /// Sequence number and send time of the report that waits for an answer.
    reporting: Option<(u64, Moment)>,
    /// Send time of the last report.
    reported: Moment,
    /// Consecutive listings for which the runner's port refused the connection.
    refused: u32,
    /// Sequence number of the last report or listing request.
    seq: u64,
    /// Sequence number up to which reports were about an earlier runner, so that orders in answer
    /// to them are dropped.
    outdated: u64,
    /// Whether the next report is sent at once, as its content changed.
    #[serde(rename = "news")]
    report_now: bool,
    /// Whether the runner may have runs whose `profiles` this process lacks, as after a restart of
    /// the agent; the leader then sends them again.
    amnesia: bool,
    #[serde(skip)]
    out: Vec<Effect>,
}

impl Hosting {
    /// State without a runner; `incarnation` is the start of the agent's process in ms since 1970.
    ///
    /// The first fencing token is `incarnation`, so that calls of an earlier process are refused
    /// once a call of this one has reached the runner. Announcements don't influence the token: a
    /// runner keeps the greatest one it has seen, so a token that is too great could not be taken
    /// back.
    pub(crate) fn new(agent: Name, incarnation: u64) -> Self {
        Self {
            agent,
            incarnation,
            current: None,
            others: Vec::new(),
            seeking: true,
            turn: 0,
            token: incarnation,
            pending: BTreeMap::new(),
            denied: BTreeMap::new(),
            profiles: BTreeMap::new(),
            doubts: DoubtState::default(),
            pacing: Pacing::default(),
            until: None,
            noted: 0,
            listing: None,
            listed: Moment::START,
            confirmed: Moment::START,
            failed: None,
            reporting: None,
            reported: Moment::START,
            refused: 0,
            seq: 0,
            outdated: 0,
            report_now: true,
            amnesia: true,
            out: Vec::new(),
        }
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        self.doubts.begin(now);
        match message {
            Message::Announce(announced) => self.announce(now, *announced),
            Message::Leave { runner, born } => self.leave(&runner, born),
            Message::Listed { seq, listing } => self.take_listing(now, seq, listing),
            Message::Ordered { seq, orders } => self.ordered(seq, orders),
            Message::Paced { key, result } => self.paced(now, key, result),
            Message::Started { key, result } => self.started(now, key, result),
            Message::Stopped { key, result } => self.stopped(now, key, result),
            Message::Tick => {
                self.denied.retain(|_, (_, at)| now.since(*at) < DENIED_RETENTION);
                self.expire_others(now);
                self.doubts.tick(now);
                self.retry_orders(now);
            },
        }
        self.send_orders(now);
        self.list(now);
        self.report(now);
        std::mem::take(&mut self.out)
    }

    /// Whether the current incarnation was confirmed recently. A later incarnation has seen no
    /// fencing token until its first call, so it carries out orders meant for an earlier one. Such
    /// orders are rare, as none are sent once a listing has failed, but they can't be ruled out: a
    /// runner may restart between an answer and the next order.
    fn is_confirmed(&self, now: Moment) -> bool {
        !self.seeking && now.since(self.confirmed) < CONFIRMED_FOR
    }

    fn target(&self) -> Option<Target> {
        self.current.as_ref().map(|current| current.target(self.token))
    }

    /// The current runner, once it is fenced. Nothing about it is reported before, since calls to
    /// an earlier incarnation may still start runs on it that its last listing doesn't show.
    fn fenced(&self) -> Option<&CurrentRunner> {
        self.current.as_ref().filter(|current| current.fenced.is_some())
    }

    /// Resets all state that belongs to the previous runner.
    fn forget_runner(&mut self) {
        self.current = None;
        self.pending.clear();
        self.denied.clear();
        self.profiles.clear();
        self.doubts.forget_runner();
        self.pacing = Pacing::default();
        (self.until, self.noted, self.listing) = (None, 0, None);
        (self.failed, self.refused) = (None, 0);
        self.outdated = self.seq;
    }

    /// Marks the runner as draining when it announces its shutdown. It is still listed until its
    /// port refuses connections, which shows that no run is left.
    fn leave(&mut self, runner: &str, born: Option<u64>) {
        let current = self.current.as_mut().map(|current| &mut current.candidate.announced);
        let matches = |current: &&mut Announcement| {
            let incarnation = &current.incarnation;
            incarnation.runner.as_str() == runner
                && born.is_none_or(|born| born == incarnation.born)
        };
        if let Some(current) = current.filter(matches) {
            tracing::info!(runner, "runner left");
            current.draining = true;
            self.report_now = true;
        }
    }

    fn take_listing(&mut self, now: Moment, seq: u64, listing: Result<Box<Listing>, Fault>) {
        let Some(ListRequest { since: asked, wait, target, .. }) =
            self.listing.take_if(|asked| asked.seq == seq)
        else {
            return;
        };
        let listing = match listing {
            Ok(listing) => *listing,
            Err(fault) => return self.listing_failed(now, &target, fault),
        };
        if !self.adopt(now, &target, &listing) {
            // A new incarnation answered under the old name; its announcement has not arrived yet.
            tracing::info!(runner = %target.incarnation.runner, born = listing.born, "reborn");
            (self.failed, self.seeking) = (Some(now), true);
            return;
        }
        (self.failed, self.refused, self.seeking) = (None, 0, false);
        self.doubts.take_listing(now, &listing);
        let fenced = target.token == self.token;
        if let Some(current) = self.current.as_mut().filter(|current| current.fenced.is_none()) {
            if !fenced {
                return;
            }
            current.fenced = Some(now);
            let incarnation = &current.candidate.announced.incarnation;
            tracing::info!(
                runner = %incarnation.runner,
                born = incarnation.born,
                runs = listing.rows.len(),
                ends = listing.ended.len(),
                listed = first_runs(&listing),
                "runner fenced"
            );
            self.report_now = true;
        }
        let late = now.since(asked) >= wait + LIST_MAX_DELAY;
        self.confirmed = if late { asked } else { now };
        let Some(current) = &mut self.current else { return };
        let ended = |listing: &Listing| listing.ended.iter().map(|e| e.number).max();
        self.report_now |= ended(&listing) > ended(&current.listing);
        if listing.complete != current.listing.complete {
            tracing::info!(
                runner = %target.incarnation.runner,
                complete = listing.complete,
                runs = listing.rows.len(),
                ends = listing.ended.len(),
                "completeness of listings"
            );
        }
        current.answered = now;
        let before = std::mem::replace(&mut current.listing, listing);
        if !current.listing.shows_all() {
            self.keep_hidden_runs(now, &before);
        }
        self.listed = now;
        self.resolve_orders(asked);
        let Some(current) = &self.current else { return };
        let rows = &current.listing.rows;
        self.profiles.retain(|key, _| {
            rows.iter().any(|row| row.key == *key) || self.pending.contains_key(key)
        });
        if rows.iter().any(|row| !self.profiles.contains_key(&row.key)) {
            self.amnesia = true;
        }
        let cores = current.candidate.announced.capacity.millicores;
        let changes = self.pacing.step(now, cores, rows, &self.profiles);
        let Some(target) = self.target() else { return };
        for (key, percent) in changes {
            self.out.push(Effect::Pace { target: target.clone(), key, percent });
        }
    }

    /// Keeps the runs that the last listing lacks since the one `before`, as it may not show all
    /// ends. The leader takes runs that are not reported for ones that have not reached the runner.
    fn keep_hidden_runs(&mut self, now: Moment, before: &Listing) {
        let listed = self.listed_runs();
        for row in before.rows.iter().filter(|row| !listed.contains(&row.key)) {
            let order = PendingOrder::new(Stage::Started { at: now }, Denial::Stopped);
            self.pending.entry(row.key).or_insert(order);
        }
    }

    /// Handles a failed listing: schedules the retry, raises the fencing token if it was too low,
    /// and counts refused connections.
    fn listing_failed(&mut self, now: Moment, target: &Target, fault: Fault) {
        self.failed = Some(now);
        tracing::info!(runner = %target.incarnation.runner, ?fault, "no listing");
        if fault == Fault::Denied(Denial::Fenced) && target.token == self.token {
            // An earlier process of this agent used greater tokens, as its clock was ahead by an
            // unknown amount.
            self.token = self.token.saturating_mul(2).saturating_add(1);
            return tracing::info!(token = self.token, "fencing token raised");
        }
        if self.target().is_some_and(|current| current == *target) {
            self.seeking = true;
            self.refused = if fault == Fault::Gone { self.refused + 1 } else { 0 };
            self.report_now |= self.refused == REFUSALS_LIMIT;
        }
    }

    /// Requests the next listing if it is due and none is pending.
    fn list(&mut self, now: Moment) {
        if self.listing.as_ref().is_some_and(|request| now.since(request.since) < LIST_TIMEOUT) {
            return;
        }
        if self.failed.is_some_and(|failed| now.since(failed) < LIST_RETRY_DELAY) {
            return;
        }
        let listing = self.current.as_ref().map(|current| &current.listing);
        let ends_waiting = listing.is_some_and(|listing| {
            listing.unread || listing.ended.iter().any(|ended| ended.number > self.noted)
        });
        let kept = self.kept_end(now);
        let interval = match kept {
            Some(_) if !self.seeking => LIST_KEPT_INTERVAL,
            None if !ends_waiting => Span::ZERO,
            _ => LIST_MIN_INTERVAL,
        };
        if now.since(self.listed) < interval {
            return;
        }
        let Some(target) = self.list_target() else { return };
        self.seq += 1;
        let seq = self.seq;
        // After a failed listing the runner has to answer at once, to show that it is alive.
        let at_once = ends_waiting || kept.is_some() || self.seeking || self.fenced().is_none();
        let wait = if at_once { Span::ZERO } else { LIST_WAIT };
        self.listing = Some(ListRequest { seq, since: now, wait, target: target.clone() });
        // The lease and the acknowledged end number apply only to the current incarnation of the
        // runner.
        let is_current =
            self.is_confirmed(now) && self.target().is_some_and(|current| current == target);
        let lease_end = self.until.filter(|_| is_current);
        let recorded = kept.map_or(self.noted, |number| number.saturating_sub(1));
        // A later incarnation would forget ends of its own, so nothing is acknowledged twice.
        let listed = is_current && self.lists_end(recorded);
        let recorded = if listed { recorded } else { 0 };
        self.out.push(Effect::List { seq, target, recorded, lease_end, wait });
    }

    /// Whether the last listing has ends up to a number.
    fn lists_end(&self, number: u64) -> bool {
        let mut listed = self.current.iter().flat_map(|current| &current.listing.ended);
        listed.any(|ended| ended.number <= number)
    }

    /// Sends a report if there is a change, none is pending, or `REPORT_INTERVAL` has passed.
    fn report(&mut self, now: Moment) {
        let open = self.reporting.is_some_and(|(_, since)| now.since(since) < REPORT_TIMEOUT);
        let due = now.since(self.reported) >= REPORT_INTERVAL || !open;
        if !(self.report_now || due) {
            return;
        }
        // When the leader can't be reached, the next attempt waits for the next tick.
        if self.reporting.is_none() && now.since(self.reported) < TICK && !self.report_now {
            return;
        }
        self.report_now = false;
        self.seq += 1;
        self.reporting = Some((self.seq, now));
        self.reported = now;
        let report = self.build_report(now);
        self.out.push(Effect::Report(Box::new(report)));
    }

    fn build_report(&self, now: Moment) -> Report {
        let current = self.fenced();
        let runner = current.map(|current| {
            let announced = &current.candidate.announced;
            Runner {
                incarnation: announced.incarnation.clone(),
                service: announced.service.clone(),
                centre: announced.centre.clone(),
                labels: announced.labels.clone(),
                capacity: announced.capacity,
                draining: announced.draining,
                clock: current.listing.clock,
                cold: current.candidate.cold(now),
            }
        });
        let listing = current.map(|current| &current.listing);
        let ended = listing.iter().flat_map(|listing| &listing.ended);
        let keys = |stops: bool| {
            let pending = self.pending.iter().filter(|(_, order)| order.is_stop() == stops);
            pending.map(|(key, _)| *key).collect()
        };
        Report {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            runner,
            rows: listing.map(|listing| self.with_shares(&listing.rows)).unwrap_or_default(),
            handling: keys(false),
            stopping: keys(true),
            ended: ended.filter(|ended| ended.number > self.noted).cloned().collect(),
            denied: self.denied.iter().map(|(key, (denial, _))| (*key, *denial)).collect(),
            silent: current.map_or(Span::ZERO, |current| now.since(current.answered)),
            gone: self.refused >= REFUSALS_LIMIT,
            amnesia: self.amnesia,
            doubts: self.build_doubts(now),
        }
    }

    fn with_shares(&self, rows: &[RunStatus]) -> Vec<RunStatus> {
        let paced =
            |row: &RunStatus| RunStatus { share: self.pacing.share_of(row.key), ..row.clone() };
        rows.iter().map(paced).collect()
    }

    /// Runs in the last listing, both running and ended.
    fn listed_runs(&self) -> BTreeSet<RunKey> {
        self.current.iter().flat_map(|current| current.listing.runs()).collect()
    }
}

/// The first runs of a listing, for a log line.
fn first_runs(listing: &Listing) -> String {
    let runs: Vec<String> = listing.runs().take(LOGGED_RUNS).map(|run| run.to_string()).collect();
    runs.join(" ")
}
