//! One runner as its agent sees it: starts and stops what the leader ordered, keeps its lease, and
//! reports what runs and what has ended.

mod heard;
mod message;
mod orders;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use self::heard::Heard;
use self::message::Target;
pub use self::message::{Announcement, Fault, Listing, Target as RunnerTarget};
pub(crate) use self::message::{Effect, Message};
use self::orders::Handling;
use crate::core::{Moment, Name, Span};
use crate::dispatch::{Denial, Nature, Report, Row, Runner};
use crate::jobs::RunKey;
use crate::pacing::Pacing;

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(100);
/// Time for which a runner may hold a listing back until something ends. Figures of tasks are
/// averages over half a second, so a longer wait would leave pacing with old ones.
const LIST_WAIT: Span = Span::millis(500);
/// Time after which a listing without an answer is given up: the wait and a generous round trip.
const LIST_TIMEOUT: Span = Span::millis(1_100);
/// Shortest time between two listings while ends wait to be recorded, since the runner answers at
/// once as long as it lists any.
const LIST_PAUSE: Span = Span::millis(60);
/// Time after which a listing that failed is asked for again.
const LIST_RETRY: Span = Span::millis(150);
/// Refused connections in a row that show that the runner's process has ended. A process that
/// starts anew under the same port is back after a second at the earliest.
const REFUSALS: u32 = 3;
/// Silence after which another life may answer under the runner's name. It is shorter than the
/// second that a restart takes, less the time that an order takes.
const CERTAIN: Span = Span::millis(700);
/// Time beyond the wait after which the answer to a listing does not tell when it was given: the
/// process may have stood still since.
const LIST_LATE: Span = Span::millis(150);
/// Longest time between two reports, well below the leader's limit for silent runners.
const REPORT_EVERY: Span = Span::millis(900);
/// Time after which a report without an answer is given up: longer than the leader holds it.
const REPORT_TIMEOUT: Span = Span::millis(1_500);
/// Time for which refused starts are remembered, longer than any lease, so that a late order for
/// one is not carried out.
const DENIED_KEPT: Span = Span::secs(15);

/// The runner that answered last.
#[derive(Debug, Serialize)]
struct Known {
    heard: Heard,
    listing: Listing,
    /// When it last answered.
    answered: Moment,
}

impl Known {
    fn target(&self, token: u64) -> Target {
        let Announcement { addr, life, .. } = &self.heard.announced;
        Target { addr: *addr, life: life.clone(), token }
    }
}

/// A listing under way.
#[derive(Debug, Serialize)]
struct Asked {
    seq: u64,
    since: Moment,
    wait: Span,
    #[serde(skip)]
    target: Target,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Hosting {
    agent: Name,
    incarnation: u64,
    known: Option<Known>,
    /// Runners that are announced beside the known one.
    others: Vec<Heard>,
    /// Whether the known runner failed to answer, or none is known, so that others are asked too.
    seeking: bool,
    /// Position, among the known runner and the others, of the one that is asked next then.
    turn: usize,
    /// Fencing token of all calls to the runner.
    token: u64,
    /// Orders that are being carried out.
    handling: BTreeMap<RunKey, Handling>,
    /// Starts that were refused, and when.
    denied: BTreeMap<RunKey, (Denial, Moment)>,
    natures: BTreeMap<RunKey, Nature>,
    pacing: Pacing,
    /// End of the lease on the runner's clock in ms.
    until: Option<u64>,
    /// Ends up to this number are recorded.
    noted: u64,
    listing: Option<Asked>,
    listed: Moment,
    /// When the known runner was certainly there.
    certain: Moment,
    /// When the last listing failed, if it did and the next waits for that reason.
    failed: Option<Moment>,
    /// Report under way, with the time it was sent.
    reporting: Option<(u64, Moment)>,
    reported: Moment,
    /// Listings in a row for which the runner's port refused the connection.
    refused: u32,
    /// Number of the last report or listing.
    seq: u64,
    /// Reports up to this number were about an earlier runner.
    outdated: u64,
    /// Whether there is something to report at once.
    news: bool,
    /// Whether runs go on that this process was not ordered to start.
    amnesia: bool,
    #[serde(skip)]
    out: Vec<Effect>,
}

impl Hosting {
    /// An agent that knows no runner; `incarnation` is the start of its process in ms since 1970.
    ///
    /// Fencing tokens begin there too, so that calls of an earlier process are refused once one of
    /// this process has come through. No announcement has a part in them: a runner keeps the greatest
    /// that it has seen, and one that is too great could not be taken back.
    pub(crate) fn new(agent: Name, incarnation: u64) -> Self {
        Self {
            agent,
            incarnation,
            known: None,
            others: Vec::new(),
            seeking: true,
            turn: 0,
            token: incarnation,
            handling: BTreeMap::new(),
            denied: BTreeMap::new(),
            natures: BTreeMap::new(),
            pacing: Pacing::default(),
            until: None,
            noted: 0,
            listing: None,
            listed: Moment::START,
            certain: Moment::START,
            failed: None,
            reporting: None,
            reported: Moment::START,
            refused: 0,
            seq: 0,
            outdated: 0,
            news: true,
            amnesia: true,
            out: Vec::new(),
        }
    }

    /// Takes a message and gives the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Announce(announced) => self.announce(now, *announced),
            Message::Leave { runner, born } => self.leave(&runner, born),
            Message::Listed { seq, listing } => self.take_listing(now, seq, listing),
            Message::Ordered { seq, orders } => self.ordered(seq, orders),
            Message::Paced { key, result } => self.paced(now, key, result),
            Message::Started { key, result } => self.started(now, key, result),
            Message::Stopped { key, result } => self.stopped(now, key, result),
            Message::Tick => {
                self.denied.retain(|_, (_, at)| now.since(*at) < DENIED_KEPT);
                self.expire_others(now);
                self.retry_orders(now);
            },
        }
        self.send_orders(now);
        self.list(now);
        self.report(now);
        std::mem::take(&mut self.out)
    }

    /// Whether orders that are sent now reach the life of the runner that they are for. A later life
    /// has seen no fencing token until its first call, so it would carry out those for an earlier one.
    fn certain(&self, now: Moment) -> bool {
        now.since(self.certain) < CERTAIN
    }

    fn target(&self) -> Option<Target> {
        self.known.as_ref().map(|known| known.target(self.token))
    }

    /// Drops all that belonged to the runner before.
    fn forget_runner(&mut self) {
        self.known = None;
        self.handling.clear();
        self.denied.clear();
        self.natures.clear();
        self.pacing = Pacing::default();
        (self.until, self.noted, self.listing) = (None, 0, None);
        (self.failed, self.refused) = (None, 0);
        self.outdated = self.seq;
    }

    /// The runner ends now; it is listed until its port refuses connections, which shows that
    /// nothing runs there any more.
    fn leave(&mut self, runner: &str, born: Option<u64>) {
        let known = self.known.as_mut().map(|known| &mut known.heard.announced);
        let own = |known: &&mut Announcement| {
            let life = &known.life;
            life.runner.as_str() == runner && born.is_none_or(|born| born == life.born)
        };
        if let Some(known) = known.filter(own) {
            tracing::info!(runner, "runner left");
            known.draining = true;
            self.news = true;
        }
    }

    fn take_listing(&mut self, now: Moment, seq: u64, listing: Result<Box<Listing>, Fault>) {
        let Some(Asked { since: asked, wait, target, .. }) =
            self.listing.take_if(|asked| asked.seq == seq)
        else {
            return;
        };
        let listing = match listing {
            Ok(listing) => *listing,
            Err(fault) => return self.unanswered(now, &target, fault),
        };
        if !self.settle(now, &target, &listing) {
            // A new life answers under the old name; its announcement will follow.
            tracing::info!(runner = %target.life.runner, born = listing.born, "reborn");
            (self.failed, self.seeking) = (Some(now), true);
            return;
        }
        (self.failed, self.refused, self.seeking) = (None, 0, false);
        let late = now.since(asked) >= wait + LIST_LATE;
        self.certain = if late { asked } else { now };
        let Some(known) = &mut self.known else { return };
        let ended = |listing: &Listing| listing.ended.iter().map(|e| e.number).max();
        self.news |= ended(&listing) > ended(&known.listing);
        known.answered = now;
        known.listing = listing;
        self.listed = now;
        self.settle_orders(asked);
        let Some(known) = &self.known else { return };
        let rows = &known.listing.rows;
        self.natures.retain(|key, _| {
            rows.iter().any(|row| row.key == *key) || self.handling.contains_key(key)
        });
        if rows.iter().any(|row| !self.natures.contains_key(&row.key)) {
            self.amnesia = true;
        }
        let cores = known.heard.announced.capacity.millicores;
        let changes = self.pacing.step(now, cores, rows, &self.natures);
        let Some(target) = self.target() else { return };
        for (key, percent) in changes {
            self.out.push(Effect::Pace { target: target.clone(), key, percent });
        }
    }

    /// Notes that a runner gave no listing.
    fn unanswered(&mut self, now: Moment, target: &Target, fault: Fault) {
        self.failed = Some(now);
        tracing::info!(runner = %target.life.runner, ?fault, "no listing");
        if fault == Fault::Denied(Denial::Fenced) && target.token == self.token {
            // An earlier process of this agent used greater tokens, as its clock was ahead. By how
            // much is not known.
            self.token = self.token.saturating_mul(2).saturating_add(1);
            return tracing::info!(token = self.token, "fencing token raised");
        }
        if self.target().is_some_and(|known| known == *target) {
            self.seeking = true;
            self.refused = if fault == Fault::Gone { self.refused + 1 } else { 0 };
            self.news |= self.refused == REFUSALS;
        }
    }

    /// Asks for the next listing when none is under way.
    fn list(&mut self, now: Moment) {
        if self.listing.as_ref().is_some_and(|asked| now.since(asked.since) < LIST_TIMEOUT) {
            return;
        }
        if self.failed.is_some_and(|failed| now.since(failed) < LIST_RETRY) {
            return;
        }
        let ended = self.known.as_ref().map(|known| &known.listing);
        let waiting = ended.is_some_and(|listing| {
            listing.unread || listing.ended.iter().any(|ended| ended.number > self.noted)
        });
        if waiting && now.since(self.listed) < LIST_PAUSE {
            return;
        }
        let Some(target) = self.whom() else { return };
        self.seq += 1;
        let seq = self.seq;
        // After one without an answer a sign of life comes before news.
        let wait = if waiting || self.seeking { Span::ZERO } else { LIST_WAIT };
        self.listing = Some(Asked { seq, since: now, wait, target: target.clone() });
        // A lease and acknowledgements are for the runner that they were granted for.
        let known = self.certain(now) && self.target().is_some_and(|known| known == target);
        let (noted, until) = if known { (self.noted, self.until) } else { (0, None) };
        self.out.push(Effect::List { seq, target, noted, until, wait });
    }

    fn report(&mut self, now: Moment) {
        let open = self.reporting.is_some_and(|(_, since)| now.since(since) < REPORT_TIMEOUT);
        let due = now.since(self.reported) >= REPORT_EVERY || !open;
        if !(self.news || due) {
            return;
        }
        // A leader that can't be reached is asked again on the next tick only.
        if self.reporting.is_none() && now.since(self.reported) < TICK && !self.news {
            return;
        }
        self.news = false;
        self.seq += 1;
        self.reporting = Some((self.seq, now));
        self.reported = now;
        let report = self.account(now);
        self.out.push(Effect::Report(Box::new(report)));
    }

    fn account(&self, now: Moment) -> Report {
        let known = self.known.as_ref();
        let runner = known.map(|known| {
            let announced = &known.heard.announced;
            Runner {
                life: announced.life.clone(),
                service: announced.service.clone(),
                centre: announced.centre.clone(),
                labels: announced.labels.clone(),
                capacity: announced.capacity,
                draining: announced.draining,
                clock: known.listing.clock,
            }
        });
        let listing = known.map(|known| &known.listing);
        let ended = listing.iter().flat_map(|listing| &listing.ended);
        let keys = |stops: bool| {
            let handling = self.handling.iter().filter(|(_, handling)| handling.stops() == stops);
            handling.map(|(key, _)| *key).collect()
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
            silent: known.map_or(Span::ZERO, |known| now.since(known.answered)),
            gone: self.refused >= REFUSALS,
            amnesia: self.amnesia,
        }
    }

    fn with_shares(&self, rows: &[Row]) -> Vec<Row> {
        let paced = |row: &Row| Row { share: self.pacing.share_of(row.key), ..row.clone() };
        rows.iter().map(paced).collect()
    }

    /// Runs that the runner lists, in whatever state.
    fn listed_runs(&self) -> BTreeSet<RunKey> {
        let Some(known) = &self.known else { return BTreeSet::new() };
        let rows = known.listing.rows.iter().map(|row| row.key);
        rows.chain(known.listing.ended.iter().map(|ended| ended.key)).collect()
    }
}
